"""A configuration that lacks a key is applied at SIGHUP instead of being turned down as a whole."""

import copy
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import rig

CLASS = "speaker-tags"  # the class that the incomplete file drops
SETTLE_S = 1.2  # the page: a new class is used by clients so long after SIGHUP


def ask(node, record, count):
    """The answers to requests of the class, one after another."""
    answers = []
    for number in range(count):
        client = rig.Client(node, record, f"{number:016x}", CLASS, 2000)
        answers.append(client.open())
        client.close()
        time.sleep(0.05)
    return answers


def case(record):
    transcribers = [rig.Transcriber(f"s-{index}", record) for index in range(4)]
    discovery = rig.Discovery(record)
    discovery.set([discovery.entry(transcriber) for transcriber in transcribers])
    node = rig.Node(record, discovery, discovery.whole(), rig.sabhalekh_settings())
    process = node.start()
    process.wait_until_ready(6)
    time.sleep(1)
    if not all(answer.startswith("UP") for answer in ask(node, record, 10)):
        raise rig.CannotRun("requests of the class are not served before SIGHUP")
    if rig.TROUBLE:
        changed = copy.deepcopy(node.config)
        categories = changed["settings"]["Categories"]
        changed["settings"]["Categories"] = [entry for entry in categories if entry["Name"] != CLASS]
        changed["settings"]["FamilyInfo"]["MessageAimNs"].pop()
        del changed["settings"]["Categories"][1]["WindowNs"]
        node.config = changed
        node.write_config()
        record("the new file has a class without WindowNs, a key that the file in use has there")
    process.signal(signal.SIGHUP)
    time.sleep(SETTLE_S)
    answers = ask(node, record, 10)
    failed = [answer for answer in answers if not answer.startswith(("UP", "BUSY"))]
    for line in process.log().splitlines():
        if "configuration" in line:
            record(f"the node's log: {line}")
    if failed:
        return f"the incomplete file was applied: {len(failed)} of {len(answers)} requests of a class in use got {failed[0]}"
    return None


rig.run_case(os.path.join(FOLDER, "record.txt"), case)
