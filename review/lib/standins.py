"""Stand-ins for clients, servers, discovery and the platform, used by the review's cases.

They follow the protocol page; where it is silent they behave like a sound peer. Everything is on 127.0.0.1.
"""
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
MS = 1_000_000

# What case.py ends with; run.sh turns these into 1, 0 and 2. An interpreter that fails ends with 1 by itself, which must not
# look like a broken rule.
RULE_BROKEN, RULE_HELD, COULD_NOT_RUN = 10, 0, 2
LONGEST_S = 100


class CannotRun(Exception):
    """The case could not be carried out; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def add(self, who, text):
        with self.lock:
            self.lines.append((self.now(), who, text))

    def save(self, path):
        with self.lock, open(path, "w", encoding="utf-8") as file:
            for at, who, text in self.lines:
                file.write(f"{at:9.3f} {who}: {text}\n")


TAKEN_PORTS = set()


def free_port():
    """A port that is free now for streams and datagrams, below the range from which the kernel takes the ports of outgoing
    connections."""
    for _ in range(500):
        port = random.randrange(20_000, 32_000)
        if port in TAKEN_PORTS:
            continue
        with contextlib.closing(socket.socket()) as stream, \
                contextlib.closing(socket.socket(type=socket.SOCK_DGRAM)) as datagrams:
            try:
                stream.bind((HOST, port))
                datagrams.bind((HOST, port))
            except OSError:
                continue
        TAKEN_PORTS.add(port)
        return port
    raise CannotRun("no free port")


def address(port):
    return f"{HOST}:{port}"


def read_line(stream):
    """One line without CRLF; None at the end of the stream."""
    line = stream.readline(4096)
    return line.rstrip(b"\r\n").decode("utf-8", "replace") if line.endswith(b"\n") else None


class Listener:
    """Accepts connections and runs `handle(connection)` in a thread for each."""

    def __init__(self, handle, port=0):
        self.connections = set()
        self.socket = socket.create_server((HOST, port), backlog=512)
        self.port = self.socket.getsockname()[1]
        self.handle = handle
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        self.connections.add(connection)
        with contextlib.suppress(OSError), contextlib.closing(connection):
            self.handle(connection)
        self.connections.discard(connection)

    def stop(self):
        """Refuses new connections and resets the open ones."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                # Wakes the thread that reads; its close then sends the reset.
                connection.shutdown(socket.SHUT_RD)


class Discovery:
    """Discovery: the whole list in answer to each call, then changes, and an empty line every 2 s."""

    def __init__(self, record, hosts):
        self.record = record
        self.hosts = {host["host"]: host for host in hosts}
        self.seq = 1
        self.changed = threading.Condition()
        self.listener = Listener(self.handle)
        self.port = self.listener.port

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, hosts):
        with self.changed:
            self.seq += 1
            for host in hosts:
                self.hosts[host["host"]] = host
            self.changed.notify_all()
        self.record.add("discovery", f"list {self.seq}: " + ", ".join(f'{h["host"]} {h["health"]}' for h in hosts))

    def handle(self, connection):
        reader = connection.makefile("rb")
        request = read_line(reader)
        while read_line(reader):
            pass
        if request is None:
            return
        if "watch=1" not in request:
            body = json.dumps(self.whole()).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                               % (len(body), body))
            return
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                           b"Transfer-Encoding: chunked\r\n\r\n")
        told = 0
        while True:
            with self.changed:
                if told == self.seq:
                    self.changed.wait(2.0)
                line = b"\n" if told == self.seq else json.dumps(self.whole()).encode() + b"\n"
                told = self.seq
            connection.sendall(b"%x\r\n%s\r\n" % (len(line), line))


class Transcriber:
    """A sound server: it answers `OPEN` with `UP`, returns each line at once, and closes when the node does. Probes
    are answered with a load report, where the settings name its fields.

    `answer(transcriber, connection, request)` may stand in for the `UP`: it returns False if it has ended the attempt.
    """

    def __init__(self, record, name, born_ms=0, cell=0, answer=None):
        self.record, self.name, self.born_ms, self.cell = record, name, born_ms, cell
        self.answer = answer
        self.lock = threading.Lock()
        self.received = []  # (time, request id) of each first line, when its last byte was read
        self.open = set()  # (request id, number of the connection) of connections that stand or wait
        self.most_at_once = {}  # request id -> most connections with that id at one time
        self.listener = Listener(self.handle)

    def host(self, health="SERVING"):
        return {"host": self.name, "dial": address(self.listener.port), "site": "a", "class": "small",
                "block": self.cell, "health": health, "share": 1.0, "born_ms": self.born_ms}

    def handle(self, connection):
        reader = connection.makefile("rb")
        first = read_line(reader)
        while first in ("PING", "STATS"):
            connection.sendall(b"PONG\r\n" if first == "PING" else self.report())
            first = read_line(reader)
        if first is None:
            return
        match = re.fullmatch(r"OPEN ([0-9a-f]{16}) (\S+) (\S+)", first)
        if not match:
            self.record.add(self.name, f"SYNTAX for {first!r}")
            connection.sendall(b"SYNTAX\r\n")
            return
        request = match.group(1)
        key = (request, id(connection))
        with self.lock:
            self.received.append((self.record.now(), request))
            self.open.add(key)
            at_once = sum(1 for other, _ in self.open if other == request)
            self.most_at_once[request] = max(at_once, self.most_at_once.get(request, 0))
        self.record.add(self.name, f"received {first!r}, open with this id now: {at_once}")
        try:
            if self.answer is None or self.answer(self, connection, request):
                connection.sendall(f"UP {self.name}-{request}\r\n".encode())
                self.record.add(self.name, f"answered {request} with UP: it runs")
                while (line := read_line(reader)) is not None:
                    connection.sendall(line.encode() + b"\r\n")
        finally:
            self.record.add(self.name, f"connection of {request} has ended")
            with self.lock:
                self.open.discard(key)

    def report(self):
        load = f"rate=0,fail_rate=0,q=0,x0={0.01 * len(self.open):.2f}"
        return f"PONG {load}\r\n".encode()

    def stop(self):
        """Ends as a process that dies: its connections are reset and new ones are refused."""
        self.listener.stop()


class Client:
    """One client's connection."""

    def __init__(self, port):
        self.socket = socket.create_connection((HOST, port), timeout=5)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.received = b""

    def send(self, line):
        self.socket.sendall(line.encode() + b"\r\n")

    def receive(self, seconds):
        """The next line; None at the end of the connection; TimeoutError, after which it may be called again."""
        until = time.monotonic() + seconds
        while b"\n" not in self.received:
            left = until - time.monotonic()
            if left <= 0:
                raise TimeoutError("no line")
            self.socket.settimeout(left)
            part = self.socket.recv(4096)
            if not part:
                return None
            self.received += part
        line, self.received = self.received.split(b"\n", 1)
        return line.rstrip(b"\r").decode("utf-8", "replace")

    def close(self):
        with contextlib.suppress(OSError):
            self.socket.close()


# What the settings take from a site. Classes: name -> (objective, deadline, objective of a message) in milliseconds.
SABHALEKH = {"classes": {"live-captions": (300, 1800, 150), "draft-minutes": (800, 4800, 60),
                         "speaker-tags": (500, 2000, 50)},
             "attempts": 3, "probes": False, "cold_ms": 8700, "overload_ms": 3000, "start": 0.3}
KATHMANDU = {"classes": {"page-watch": (500, 2000, 150), "search-live": (300, 1800, 250), "edit-sync": (500, 2000, 150)},
             "attempts": 5, "probes": True, "cold_ms": 24_000, "overload_ms": 1000, "start": 0.12}


def settings(nodes, site=SABHALEKH):
    """Settings like those of a site, for so many nodes."""
    classes = site["classes"]
    categories = [{"Name": name, "Repeat": "repeatable", "Group": "all", "WindowNs": 5000 * MS,
                   "DeadlineNs": deadline * MS, "PromiseNs": objective * MS, "Stream": True, "Value": 1.0,
                   "LateShare": 0.0} for name, (objective, deadline, _) in classes.items()]
    fields = ["rate", "fail_rate", "q", "x0"] if site["probes"] else []
    return {
        "Instances": nodes,
        "Categories": categories,
        "FamilyInfo": {"Groups": True, "MessageAimNs": [message * MS for _, _, message in classes.values()],
                       "Mode": "proxy"},
        "Kinds": ["small"],
        "Localities": ["a"],
        "Limits": {"SendCap": site["attempts"], "MayProbe": site["probes"], "Peers": False, "RetryAfter": True,
                   "MaxRetryAfterNs": 2000 * MS, "ConnectTimeoutNs": 150 * MS},
        "Obligations": {"AnswerSlackNs": 20 * MS, "AskWithinNs": 10_000 * MS, "ColdNs": site["cold_ms"] * MS,
                        "DrainGraceNs": 500 * MS, "FallMultiple": 3.0, "OverloadForNs": site["overload_ms"] * MS,
                        "StartCapacity": site["start"]},
        "RegistryMode": "subscribe",
        "Tenants": [],
        "Report": {"Fields": fields, "How": "on_probe" if fields else "off"},
    }


def config(name, listen, discovery, management, known, site_settings):
    return {
        "name": name, "listen": address(listen), "discovery": address(discovery.port),
        "management": address(management), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known, "settings": site_settings,
    }


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


class Node:
    """One process of the node, started by the deploy file's `run`."""

    def __init__(self, case, node_config, management=None, arguments="", environment=None, descriptors=()):
        self.case, self.name = case, node_config["name"]
        self.management = management or int(node_config["management"].rsplit(":", 1)[1])
        self.label = f"{self.name}-{len(case.nodes)}"
        path = os.path.join(case.folder, f"{self.label}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(node_config, file)
        variables = dict(os.environ, RELAY_CONFIG=path, RELAY_NAME=self.name, RELAY_LISTEN=node_config["listen"],
                         RELAY_DISCOVERY=node_config["discovery"], RELAY_MANAGEMENT=address(self.management))
        temporary = os.path.join(case.folder, f"tmp-{self.name}")
        os.makedirs(temporary, exist_ok=True)
        variables["TMPDIR"] = temporary
        variables.update(environment or {})
        self.log = open(os.path.join(case.folder, f"{self.label}.log"), "wb")
        command = " ".join([deploy_command(), *arguments.split()])
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=variables, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log, pass_fds=descriptors)
        case.nodes.append(self)
        case.record.add("platform", f"started a process of {self.name} ({self.label})")

    def ask(self, call, seconds=1.5):
        """The answer to a call at the second address; None without one."""
        try:
            client = Client(self.management)
        except OSError:
            return None
        try:
            client.send(call)
            return client.receive(seconds)
        except OSError:
            return None
        finally:
            client.close()

    def wait_until_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.label} ended with {self.process.returncode}")
            if (self.ask("check") or "").startswith("done"):
                self.case.record.add(self.label, "answers yes to check")
                return
            time.sleep(0.1)
        raise CannotRun(f"{self.label} was not ready in {seconds} s")

    def signal(self, number):
        self.case.record.add("platform", f"{signal.Signals(number).name} to {self.label}")
        self.process.send_signal(number)


def stop(number, _frame):
    raise CannotRun(f"ended by {signal.Signals(number).name}")


class Case:
    """Runs `play(case, trouble)`, which returns True if the rule was broken, ends all processes that it started, and writes
    the record to `record_path`."""

    def __init__(self):
        self.record = Record()
        self.nodes = []
        self.folder = None

    def run(self, play, trouble, record_path):
        self.record.add("case", "with the disruption" if trouble else "TROUBLE=0: without the disruption")
        # run.sh ends what is left of this process group, should this process be killed.
        os.setpgrp()
        status = COULD_NOT_RUN
        for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, stop)
        signal.alarm(LONGEST_S)
        try:
            with tempfile.TemporaryDirectory() as folder:
                self.folder = folder
                try:
                    broken = play(self, trouble)
                finally:
                    self.end_nodes()
                    self.copy_log_excerpts()
            status = RULE_BROKEN if broken else RULE_HELD
        except Exception as error:  # whatever went wrong says nothing about the rule
            self.record.add("case", f"could not run: {type(error).__name__}: {error}")
        verdict = {RULE_BROKEN: "rule broken", RULE_HELD: "rule held", COULD_NOT_RUN: "could not run"}[status]
        self.record.add("case", verdict)
        self.record.save(record_path)
        print(verdict)
        # Threads that wait for a peer must not keep the program.
        sys.stdout.flush()
        os._exit(status)

    def end_nodes(self):
        for node in self.nodes:
            if node.process.poll() is None:
                node.process.kill()
            code = node.process.wait()
            node.log.close()
            self.record.add("platform", f"{node.label} has ended ({code})")

    def copy_log_excerpts(self):
        """Puts what each node logged (the last lines) behind the record."""
        for node in self.nodes:
            with open(node.log.name, encoding="utf-8", errors="replace") as file:
                for line in file.readlines()[-25:]:
                    self.record.add(f"log of {node.label}", line.rstrip().replace(self.folder, "TMP"))
