#!/bin/sh
# The cases' stand-ins are Python programs of the standard library alone: there is nothing to compile, so this checks
# that the interpreter is there and reads them. The project's own programs come from the deploy file's build.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - lib/standins.py [0-9]*/case.py <<'PROGRAM'
import sys, tomllib
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PROGRAM
test -x ../target/release/lupincrank
