"""Holds the clients' listening socket, as the platform does, and upgrades the node each time Enter is pressed.

Run it from the root of the repository while toy_server.py is running. Ctrl-D ends it and sends SIGTERM to the node.
"""
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

PROGRAM, CONFIG = "target/release/lupincrank", "examples/config.json"
DESCRIPTOR, FIRST_PORT = 7, 18011


def ready(port):
    """Returns True if the process at this management port reports that it can serve."""
    run = subprocess.run([PROGRAM, "manage", f"127.0.0.1:{port}", "check"], capture_output=True)
    return run.returncode == 0


def start(folder, port):
    """Starts a process and waits until it can serve."""
    environment = dict(os.environ, RELAY_INHERITED_FD=str(DESCRIPTOR), TMPDIR=folder)
    environment["RELAY_MANAGEMENT"] = f"127.0.0.1:{port}"
    process = subprocess.Popen([PROGRAM, "serve", "--config", CONFIG], env=environment, pass_fds=[DESCRIPTOR])
    while not ready(port):
        if process.poll() is not None:
            sys.exit(f"it ended with {process.returncode}")
        time.sleep(0.1)
    print(f"process {process.pid} serves, its second address is 127.0.0.1:{port}; Enter upgrades it", flush=True)
    return process


def main():
    with open(CONFIG) as file:
        host, port = json.load(file)["listen"].rsplit(":", 1)
    listener = socket.create_server((host, int(port)))
    os.dup2(listener.fileno(), DESCRIPTOR)
    listener.close()
    with tempfile.TemporaryDirectory() as folder:
        process = start(folder, FIRST_PORT)
        for count, _ in enumerate(sys.stdin, start=1):
            newer = start(folder, FIRST_PORT + count)
            process.send_signal(signal.SIGTERM)
            began = time.monotonic()
            process.wait()
            print(f"process {process.pid} ended after {(time.monotonic() - began) * 1e3:.0f} ms", flush=True)
            process = newer
        process.send_signal(signal.SIGTERM)
        process.wait()


if __name__ == "__main__":
    main()
