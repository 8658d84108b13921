"""An upgrade while discovery is down: the new process goes by the list of its file, though this node was told a drain."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import rig

GRACE_S = 0.5 + 0.05  # obligations of the settings, and the slack of the protocol page
OUTAGE_S = 8.0


def visit(node, record, group):
    """One visit of a client that stays for a second."""
    client = rig.Client(node, record, group)
    try:
        if (client.open() or "").startswith("UP"):
            time.sleep(1)
    except OSError:
        pass
    client.close()


def come(node, record, stop):
    """Sixteen new connections a second, each of another group."""
    number = 0
    while not stop.is_set():
        rig.spawn(visit, node, record, f"{number:016x}")
        number += 1
        time.sleep(1 / 16)


def case(record):
    transcribers = [rig.Transcriber(f"s-{index}", record) for index in range(8)]
    discovery = rig.Discovery(record)
    discovery.set([discovery.entry(transcriber) for transcriber in transcribers])
    node = rig.Node(record, discovery, discovery.whole(), rig.sabhalekh_settings(), inherits=True)
    old = node.start("old process")
    old.wait_until_ready(6)
    stop = threading.Event()
    rig.spawn(come, node, record, stop)
    time.sleep(2)

    draining = transcribers[:2]
    before = sum(len(transcriber.opens) for transcriber in draining)
    for transcriber in draining:
        transcriber.is_draining = True
    version = discovery.set([discovery.entry(transcriber, "DRAINING") for transcriber in draining])
    told_at = rig.wait_for("the node is told", 2, lambda: discovery.told_at(version))
    time.sleep(2)

    if rig.TROUBLE:
        discovery.go_down()
        down_at = time.monotonic()
        time.sleep(0.5)
    new = node.start("new process")
    new.wait_until_ready(10)
    yes_at = time.monotonic()
    old.signal(signal.SIGTERM)
    if rig.TROUBLE:
        time.sleep(max(0.0, down_at + OUTAGE_S - time.monotonic()))
        discovery.come_back()
    time.sleep(4)
    stop.set()
    time.sleep(0.2)

    if before == 0:
        raise rig.CannotRun("no request went to these transcribers before they drained")
    late = sorted((at, transcriber.name, request) for transcriber in draining
                  for at, request in transcriber.opens if at > told_at + GRACE_S)
    for at, name, request in late:
        record(f"late: OPEN {request} at {name}, {at - told_at:.3f} s after the node was told that it drains, "
               f"{at - yes_at:.3f} s after the yes")
    if late:
        return (f"{len(late)} requests sent to draining transcribers, {late[0][0] - told_at:.1f} to "
                f"{late[-1][0] - told_at:.1f} s after the node was told; "
                f"{sum(at > yes_at + 2 + GRACE_S for at, _, _ in late)} of them over 2.55 s after the yes")
    return None


rig.run_case(os.path.join(FOLDER, "record.txt"), case)
