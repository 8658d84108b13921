"""Clients that connect first and send their lines a little later: the node opens more descriptors than its limit."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import rig

LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 256}
SOUND = LIMITS["sockets"] // 3  # "for requests, clients hold at most a third of the descriptors"
IDLE = 110  # "others connect by hundreds and say nothing"
WAIT_S = 0.5  # some clients need 2 s to write their line


def descriptors(process):
    """The descriptors that the process holds, as the platform sees them."""
    return len(os.listdir(f"/proc/{process.process.pid}/fd"))


def case(record):
    transcribers = [rig.Transcriber(f"s-{index}", record) for index in range(12)]
    discovery = rig.Discovery(record)
    discovery.set([discovery.entry(transcriber) for transcriber in transcribers])
    node = rig.Node(record, discovery, discovery.whole(), rig.sabhalekh_settings(), limits=LIMITS)
    process = node.start()
    process.wait_until_ready(6)
    record(f"descriptors at rest: {descriptors(process)}; limit {LIMITS['sockets']}")
    idle = []
    if rig.TROUBLE:
        idle = [socket.create_connection(node.address, timeout=3) for _ in range(IDLE)]
    clients = []
    for number in range(SOUND):
        client = rig.Client(node, record, f"{number:016x}")
        client.lines = rig.Lines(socket.create_connection(node.address, timeout=3))
        clients.append(client)
    time.sleep(WAIT_S)
    record(f"{len(clients)} sound clients and {len(idle)} idle ones are connected: {descriptors(process)} descriptors")
    for client in clients:
        client.lines.send(client.first)
    most, over_for = 0, 0.0
    until = time.monotonic() + 1.5
    last = time.monotonic()
    while time.monotonic() < until:
        held = descriptors(process)
        now = time.monotonic()
        if held > LIMITS["sockets"]:
            over_for += now - last
        if held > most:
            most = held
            record(f"descriptors: {held}")
        last = now
        time.sleep(0.005)
    answers = []
    for client in clients:
        try:
            answers.append((client.lines.read(5) or "(closed)").split(" ")[0])
        except (OSError, socket.timeout):
            answers.append("(none)")
    record(f"answers of the sound clients: { {answer: answers.count(answer) for answer in set(answers)} }; "
           f"most descriptors {most}, over the limit for {over_for:.2f} s")
    for connection in idle:
        connection.close()
    if most > LIMITS["sockets"]:
        return f"{most} descriptors, where the limit is {LIMITS['sockets']}, for {over_for:.2f} s"
    return None


rig.run_case(os.path.join(FOLDER, "record.txt"), case)
