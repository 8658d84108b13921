"""A minimal upstream server and a minimal discovery service for trying out the node; see examples/README.md."""

import json
import os
import socketserver
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))


class Transcriber(socketserver.StreamRequestHandler):
    """An upstream server: answers OPEN with UP, and echoes each later line; `bye` closes the connection."""

    def handle(self):
        first = self.rfile.readline(4096)
        if not first.startswith(b"OPEN "):
            self.wfile.write(b"SYNTAX\r\n")
            return
        request = first.split()[1].decode()
        self.wfile.write(f"UP {self.server.server_address[1]}-{request}\r\n".encode())
        self.wfile.write(b"LOAD 1500\r\n")
        for line in self.rfile:
            if line.strip() == b"bye":
                self.wfile.write(b"BYE\r\n")
                return
            self.wfile.write(line)


class Discovery(socketserver.StreamRequestHandler):
    """Discovery: answers a watch with the complete endpoint list of config.json, then sends an empty line every 2 s."""

    def handle(self):
        while self.rfile.readline(4096).strip():
            pass
        with open(os.path.join(HERE, "config.json"), encoding="utf-8") as file:
            group = json.load(file)["known"]
        self.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(group).encode() + b"\n"
        while True:
            self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
            time.sleep(2)
            line = b"\n"


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True

    def handle_error(self, request, client_address):
        print(client_address, "left", file=sys.stderr)


def main():
    for port, handler in [(18500, Discovery), (18101, Transcriber), (18102, Transcriber)]:
        server = Server(("127.0.0.1", port), handler)
        threading.Thread(target=server.serve_forever).start()
    print("discovery on 18500, transcribers on 18101 and 18102; Ctrl-C ends them")


if __name__ == "__main__":
    main()
