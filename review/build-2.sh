#!/bin/sh
# Builds what the scripts of review 2 start besides the programs that the deploy file builds: all stand-ins are in Python,
# so nothing is compiled; this checks that the interpreter can read them.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
echo "the stand-ins of review 2 are ready"
