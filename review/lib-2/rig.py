"""Stand-ins and helpers for the cases of review 2: discovery, transcribers, clients and the node's processes.

All addresses are loopback addresses with free ports. Stand-ins follow the operators' protocol page; where it is silent
they behave like a sound party. Nothing here depends on the kind of machine.
"""

import atexit
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
INHERITED_FD = 7
# Taken before any thread opens a descriptor, so that no socket of a stand-in gets this number.
_reserved = os.open(os.devnull, os.O_RDONLY)
if _reserved != INHERITED_FD:
    os.dup2(_reserved, INHERITED_FD)
MS = 1_000_000


class CannotRun(Exception):
    """The case could not be carried out; nothing is said about the rule."""


class Record:
    """The record of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
            self.file.flush()


def run_case(record_path, case):
    """Runs `case(record)`, which returns a text if the rule was broken, and exits as the issue asks."""
    record = Record(record_path)
    record(f"TROUBLE={int(TROUBLE)}")

    def on_signal(number, _frame):
        record(f"could not run: ended by {signal.Signals(number).name}")
        end_processes()
        os._exit(NOT_RUN)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_signal)
    watchdog = threading.Timer(115, lambda: (record("could not run: over 115 s"), end_processes(), os._exit(NOT_RUN)))
    watchdog.daemon = True
    watchdog.start()
    try:
        broken = case(record)
        code = BROKEN if broken else HELD
        record(f"rule broken: {broken}" if broken else "rule held")
        print(f"rule broken: {broken}" if broken else "rule held")
    except CannotRun as error:
        code = NOT_RUN
        record(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception as error:  # a fault of the script is no fault of the node
        code = NOT_RUN
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
    end_processes()
    sys.stdout.flush()
    os._exit(code)


def wait_for(what, seconds, condition):
    """Waits until the condition holds."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise CannotRun(f"{what}: not within {seconds} s")


def listen(host="127.0.0.1", port=0, backlog=256):
    server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((host, port))
    server.listen(backlog)
    return server


def free_port():
    with listen() as server:
        return server.getsockname()[1]


def text_of(address):
    return f"{address[0]}:{address[1]}"


def spawn(target, *arguments):
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread


class Lines:
    """A connection as lines that end with CRLF."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read(self, timeout=None):
        """The next line without its end; None at the end of the connection. Raises socket.timeout."""
        until = None if timeout is None else time.monotonic() + timeout
        while b"\n" not in self.buffer:
            if until is not None:
                left = until - time.monotonic()
                if left <= 0:
                    raise socket.timeout()
                self.connection.settimeout(left)
            else:
                self.connection.settimeout(None)
            try:
                chunk = self.connection.recv(65536)
            except (ConnectionResetError, BrokenPipeError):
                return None
            if not chunk:
                return None
            self.buffer += chunk
        line, _, self.buffer = self.buffer.partition(b"\n")
        return line.rstrip(b"\r").decode("utf-8", "replace")

    def send(self, line):
        self.connection.settimeout(5)
        self.connection.sendall(line.encode() + b"\r\n")

    def close(self):
        try:
            self.connection.close()
        except OSError:
            pass


class Transcriber:
    """A sound transcriber: answers OPEN with UP and each later line with one line, at once.

    A transcriber that drains finishes the connections that it has and answers BUSY to a new one.
    """

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.server = listen()
        self.address = self.server.getsockname()
        self.opens = []  # (time, request id) of each OPEN line
        self.is_draining = False
        self.lock = threading.Lock()
        self.report = None  # the load report of a probe, where the settings allow probes
        self.connections = set()
        self.answer = self.answer_up
        spawn(self.accept)

    def accept(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            spawn(self.serve, connection)

    def end(self):
        """The process ends: new connections are refused and the open ones are reset."""
        self.record(f"{self.name} ends")
        self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()
        with self.lock:
            for connection in self.connections:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)  # wakes the thread that reads it and then closes it with a reset

    def serve(self, connection):
        lines = Lines(connection)
        with self.lock:
            self.connections.add(connection)
        try:
            first = lines.read(10)
            if first is None:
                return
            while first in ("PING", "STATS"):
                if self.report is None:
                    lines.send("NO")
                    return
                lines.send("PONG" if first == "PING" else f"PONG {self.report}")
                first = lines.read(60)
            if first is None:
                return
            words = first.split(" ")
            if words[0] != "OPEN" or len(words) != 4:
                self.record(f"{self.name} got {first!r}: SYNTAX")
                lines.send("SYNTAX")
                return
            with self.lock:
                self.opens.append((time.monotonic(), words[1]))
            self.record(f"{self.name} got OPEN {words[1]}{' while draining' if self.is_draining else ''}")
            self.answer(lines, words[1])
        except (OSError, socket.timeout):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            lines.close()

    def answer_up(self, lines, request):
        if self.is_draining:
            lines.send("BUSY")
            return
        lines.send(f"UP {self.name}-{request}")
        self.echo(lines)

    def echo(self, lines):
        while True:
            line = lines.read()
            if line is None:
                return
            lines.send(f"echo {line}")


class Discovery:
    """Discovery: a watch gets the whole list first, then each change as a line, and an empty line every 2 s.

    While it is down it refuses connections and its watches have ended.
    """

    def __init__(self, record, port=0):
        self.record = record
        self.lock = threading.Condition()
        self.version = 1
        self.hosts = {}
        self.changes = []  # (version, host)
        self.watches = set()
        self.told = []  # (time, version) of each write to a watch
        self.server = None
        self.port = port
        self.open()

    def open(self):
        self.server = listen(port=self.port)
        self.port = self.server.getsockname()[1]
        self.address = ("127.0.0.1", self.port)
        spawn(self.accept, self.server)

    def go_down(self):
        self.record("discovery goes down")
        server, self.server = self.server, None
        server.shutdown(socket.SHUT_RDWR)
        server.close()
        with self.lock:
            for connection in list(self.watches):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def come_back(self):
        self.record("discovery is back")
        self.open()

    def entry(self, transcriber, health="SERVING", born_ms=0, zone="gandhinagar"):
        return {"host": transcriber.name, "dial": text_of(transcriber.address), "site": zone, "class": "std-2c",
                "block": 0, "health": health, "share": 1.0, "born_ms": born_ms}

    def set(self, entries):
        """Changes entries of the list, which is written to the open watches at once."""
        with self.lock:
            self.version += 1
            for entry in entries:
                if entry["health"] == "DELETED":
                    self.hosts.pop(entry["host"], None)
                else:
                    self.hosts[entry["host"]] = entry
                self.changes.append((self.version, entry))
            self.lock.notify_all()
            return self.version

    def whole(self):
        return {"seq": self.version, "whole": True, "hosts": list(self.hosts.values())}

    def accept(self, server):
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            spawn(self.serve, connection)

    def serve(self, connection):
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.settimeout(5)
            head = b""
            while b"\r\n\r\n" not in head:
                chunk = connection.recv(4096)
                if not chunk:
                    return
                head += chunk
            self.record(f"discovery is called: {head.split(b' HTTP')[0].decode()}")
            self.watch(connection)
        except (OSError, socket.timeout):
            pass
        finally:
            with self.lock:
                self.watches.discard(connection)
            connection.close()

    def watch(self, connection):
        with self.lock:
            self.watches.add(connection)
            body, version = self.whole(), self.version
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write(connection, body, version)
        while True:
            with self.lock:
                self.lock.wait_for(lambda: self.version > version or connection not in self.watches, 2.0)
                fresh = [host for seq, host in self.changes if seq > version]
                version_now = self.version
            if fresh:
                self.write(connection, {"seq": version_now, "whole": False, "hosts": fresh}, version_now)
                version = version_now
            else:
                connection.sendall(b"1\r\n\n\r\n")

    def write(self, connection, body, version):
        data = json.dumps(body).encode() + b"\n"
        connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        with self.lock:
            self.told.append((time.monotonic(), version))
        self.record(f"discovery told version {version}: "
                    + " ".join(f"{host['host']}={host['health']}" for host in body["hosts"]))

    def told_at(self, version):
        """When a watch was first told this version or a later one; None before."""
        with self.lock:
            return min((at for at, told in self.told if told >= version), default=None)


def sabhalekh_settings(**changes):
    """Settings like those of a small deployment at the first site, with the names of the simulator's first message."""
    def category(name, deadline_ms, promise_ms, value):
        return {"Name": name, "DeadlineNs": deadline_ms * MS, "PromiseNs": promise_ms * MS, "Repeat": "repeatable",
                "Group": "all", "WindowNs": 5000 * MS, "Stream": True, "Value": value, "LateShare": 0.0}
    settings = {
        "Instances": 2, "Kinds": ["fast-2c", "std-2c"], "Localities": ["gandhinagar", "vadodara"], "MyZone": 0,
        "Categories": [category("live-captions", 1800, 300, 2.0), category("draft-minutes", 4800, 800, 1.0),
                       category("speaker-tags", 2000, 500, 3.0)],
        "Clients": {"MarksRetry": False},
        "FamilyInfo": {"Groups": True, "MessageAimNs": [150 * MS, 60 * MS, 50 * MS], "Mode": "proxy", "ParkNs": 0,
                       "TellsDelay": True, "TellsLoad": True, "TenantQuotaConnections": []},
        "Limits": {"Cancel": True, "ConnIdleNs": 5000 * MS, "ConnectTimeoutNs": 150 * MS, "CpuUsPerRequest": 0.0,
                   "CpuUsPerS": 1000000, "MaxRetryAfterNs": 2000 * MS, "MaxStreams": 1048576, "MayDuplicate": False,
                   "MayProbe": False, "Peers": False, "RetryAfter": True, "SendCap": 3},
        "Obligations": {"AnswerSlackNs": 20 * MS, "AskWithinNs": 10000 * MS, "ColdNs": 8700 * MS,
                        "DrainGraceNs": 500 * MS, "FallMultiple": 3.0, "OverloadForNs": 3000 * MS,
                        "StartCapacity": 0.3},
        "Prices": {"CrossZone": 0.1, "Waste": 0.25, "Probe": 0.0, "Moves": 0.022},
        "RegistryMode": "subscribe", "Report": {"Fields": [], "How": "off"}, "Tenants": [], "Workload": "conn",
    }
    for path, value in changes.items():
        place = settings
        *folders, last = path.split("__")
        for folder in folders:
            place = place[folder]
        place[last] = value
    return settings


def kathmandu_settings(**changes):
    """Settings like those of the second site: three nodes, probes allowed, no time to come back in a refusal."""
    def category(name, deadline_ms, promise_ms, value):
        return {"Name": name, "DeadlineNs": deadline_ms * MS, "PromiseNs": promise_ms * MS, "Repeat": "repeatable",
                "Group": "all", "WindowNs": 5000 * MS, "Stream": True, "Value": value, "LateShare": 0.0}
    base = {
        "Instances": 3, "Kinds": ["fast-4", "mid-4", "slow-4"], "Localities": ["kathmandu", "pokhara", "biratnagar"],
        "Categories": [category("page-watch", 2000, 500, 1.0), category("search-live", 1800, 300, 3.0),
                       category("edit-sync", 2000, 500, 5.0)],
        "FamilyInfo__MessageAimNs": [150 * MS, 250 * MS, 150 * MS], "FamilyInfo__TellsDelay": False,
        "FamilyInfo__TellsLoad": False, "Limits__ConnIdleNs": 60000 * MS, "Limits__ConnectTimeoutNs": 100 * MS,
        "Limits__MayProbe": True, "Limits__RetryAfter": False, "Limits__MaxRetryAfterNs": 1000 * MS,
        "Limits__SendCap": 5, "Obligations__ColdNs": 24000 * MS, "Obligations__OverloadForNs": 1000 * MS,
        "Obligations__StartCapacity": 0.12, "Prices__CrossZone": 0.03, "Prices__Waste": 0.2,
        "Prices__Probe": 0.0022, "Prices__Moves": 0.027,
        "Report": {"Fields": ["rate", "fail_rate", "q", "x0"], "How": "on_probe"},
    }
    return sabhalekh_settings(**{**base, **changes})


def run_command():
    """The command of the deploy file that starts one node."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        match = re.search(r'^run\s*=\s*"(.*)"\s*$', file.read(), re.MULTILINE)
    if not match:
        raise CannotRun("the deploy file has no run")
    return match.group(1)


PROCESSES = []


def end_processes():
    for process in PROCESSES:
        if process.poll() is None:
            try:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait(5)
            except (OSError, subprocess.TimeoutExpired):
                pass
    for folder in FOLDERS:
        shutil.rmtree(folder, ignore_errors=True)


FOLDERS = []
atexit.register(end_processes)


def temporary_folder():
    folder = tempfile.mkdtemp(prefix="review-2-")
    FOLDERS.append(folder)
    return folder


class Node:
    """One node: its configuration file and its processes."""

    def __init__(self, record, discovery, known, settings, inherits=False, limits=None, name="n0"):
        self.record, self.discovery, self.name = record, discovery, name
        self.arguments, self.environment = "", {}  # of the node's further features
        self.folder = temporary_folder()
        self.config_path = os.path.join(self.folder, "config.json")
        self.tmp = os.path.join(self.folder, "tmp")
        os.mkdir(self.tmp)
        self.listener = listen(backlog=1024) if inherits else None
        self.address = self.listener.getsockname() if inherits else ("127.0.0.1", free_port())
        if inherits:
            os.dup2(self.listener.fileno(), INHERITED_FD)
        self.config = {"name": name, "listen": text_of(self.address), "discovery": text_of(discovery.address),
                       "seed": "8c1f30d27a5be964",
                       "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                       "known": known, "settings": settings}
        self.write_config()

    def write_config(self):
        with open(self.config_path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.rename(self.config_path + ".new", self.config_path)

    def start(self, label="node"):
        environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        admin = ("127.0.0.1", free_port())
        environment.update(RELAY_NAME=self.name, RELAY_LISTEN=text_of(self.address), RELAY_CONFIG=self.config_path,
                           RELAY_DISCOVERY=self.config["discovery"], RELAY_MANAGEMENT=text_of(admin), TMPDIR=self.tmp)
        environment.update(self.environment)
        pass_fds = []
        if self.listener:
            environment["RELAY_INHERITED_FD"] = str(INHERITED_FD)
            pass_fds = [INHERITED_FD]
        log_path = os.path.join(self.folder, f"{label}.log")
        with open(log_path, "w", encoding="utf-8") as log:
            try:
                process = subprocess.Popen(["/bin/sh", "-c", run_command() + self.arguments], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                           stdout=log, stderr=log, pass_fds=pass_fds)
            except OSError as error:
                raise CannotRun(f"the node does not start: {error}")
        PROCESSES.append(process)
        self.record(f"{label} is started")
        return NodeProcess(self, label, process, admin, log_path)


class NodeProcess:
    """One process of a node."""

    def __init__(self, node, label, process, admin, log_path):
        self.node, self.label, self.process, self.admin, self.log_path = node, label, process, admin, log_path
        self.record = node.record

    def call(self, line, timeout=1.0):
        """One call at the second address; None if there is no answer."""
        try:
            with socket.create_connection(self.admin, timeout=timeout) as connection:
                lines = Lines(connection)
                lines.send(line)
                return lines.read(timeout)
        except (OSError, socket.timeout):
            return None

    def is_ready(self):
        if self.process.poll() is not None:
            raise CannotRun(f"{self.label} ended with {self.process.returncode}: {self.log()[-300:]}")
        answer = self.call("check")
        return answer is not None and answer.startswith("done")

    def wait_until_ready(self, seconds):
        wait_for(f"{self.label} says yes", seconds, self.is_ready)
        self.record(f"{self.label} says yes")

    def signal(self, number):
        self.record(f"{self.label} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Client:
    """A sound client: one request, then a line every 2 s while it is connected."""

    count = 0
    lock = threading.Lock()

    def __init__(self, node, record, group, class_name="draft-minutes", deadline_ms=4800):
        with Client.lock:
            Client.count += 1
            number = Client.count
        self.id = f"{number:08x}{os.getpid() & 0xffffffff:08x}"
        self.node, self.record = node, record
        self.first = f"OPEN {self.id} {number:016x} c={class_name},d={deadline_ms},g={group}"
        self.deadline = deadline_ms / 1000
        self.answer = None
        self.answered_after = None
        self.lines = None

    def open(self):
        """Sends the request and waits for its final answer, half a second longer than its time. Returns the line."""
        self.lines = Lines(socket.create_connection(self.node.address, timeout=3))
        self.lines.send(self.first)
        sent_at = time.monotonic()
        self.sent_at = sent_at
        try:
            self.answer = self.lines.read(self.deadline + 0.5)
        except socket.timeout:
            self.answer = "(no answer)"
        self.answered_after = time.monotonic() - sent_at
        self.record(f"client {self.id} got {self.answer!r} after {self.answered_after * 1000:.0f} ms")
        return self.answer

    def close(self):
        if self.lines:
            self.lines.close()
