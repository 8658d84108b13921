"""The leader of three nodes is killed; a change of the budget that another node answers with `done` is lost."""

import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import rig

NAMES = ["n0", "n1", "n2"]
CAPACITY, FLOOR, CHANGED = 60, 2, 90
CALL_AFTER_S = 0.5
TIME_TO_HOLD_S = 10.0  # the page: a greater capacity is in use within a second or two; a leader is there after 2 to 4 s


def whole(process):
    """The budget's capacity as this node's replicated state has it; None without an answer."""
    answer = process.call("budgets show")
    if not answer or not answer.startswith("done "):
        return None
    return json.loads(answer[5:])[0]["whole"]


def leader_of(process):
    answer = process.call("fleet status")
    return json.loads(answer[5:])["council"]["leader"] if answer and answer.startswith("done ") else None


def case(record):
    transcribers = [rig.Transcriber(f"s-{index}", record) for index in range(3)]
    discovery = rig.Discovery(record)
    discovery.set([discovery.entry(transcriber) for transcriber in transcribers])
    addresses = {name: f"127.0.0.1:{rig.free_port()}" for name in NAMES}
    operator = os.path.join(rig.temporary_folder(), "operator.toml")
    with open(operator, "w", encoding="utf-8") as file:
        file.write('[fleet]\nname = "review"\nnodes = ["n0", "n1", "n2"]\n\n[fleet.seeds]\n')
        file.writelines(f'{name} = "{address}"\n' for name, address in addresses.items())
        file.write(f"\n[budgets.cold]\ncapacity = {CAPACITY}\nfloor = {FLOOR}\n")
    processes = {}
    for name in NAMES:
        node = rig.Node(record, discovery, discovery.whole(), rig.sabhalekh_settings(Instances=3), name=name)
        node.arguments, node.environment = f" --operator {operator}", {"RELAY_FLEET": addresses[name]}
        processes[name] = node.start(name)
    for process in processes.values():
        process.wait_until_ready(10)
    rig.wait_for("all nodes know one leader", 15, lambda: (
        len({leader_of(process) for process in processes.values()}) == 1 and leader_of(processes["n0"]) in NAMES))
    time.sleep(6)  # leases are granted
    leader = leader_of(processes["n0"])
    caller = next(name for name in NAMES if name != leader)
    record(f"leader {leader}; capacity at {caller}: {whole(processes[caller])}")
    if rig.TROUBLE:
        processes[leader].signal(signal.SIGKILL)
        processes.pop(leader).process.wait(5)
        time.sleep(CALL_AFTER_S)
    answer = processes[caller].call(f"budgets set cold={CHANGED}")
    record(f"budgets set cold={CHANGED} at {caller}: {answer}")
    if answer is None or not answer.startswith("done"):
        record("the change was not accepted")
        return None
    rig.wait_for("there is a leader", 15, lambda: leader_of(processes[caller]) in processes)
    until = time.monotonic() + TIME_TO_HOLD_S
    shown = {}
    while time.monotonic() < until:
        shown = {name: whole(process) for name, process in processes.items()}
        if all(capacity == CHANGED for capacity in shown.values()):
            record(f"the capacity now: {shown}")
            return None
        time.sleep(0.2)
    record(f"leader {leader_of(processes[caller])}; the capacity now: {shown}")
    return (f"a change answered with done is lost: {TIME_TO_HOLD_S:.0f} s after a leader was there "
            f"the capacity is {shown}, not {CHANGED}")


rig.run_case(FOLDER, case)
