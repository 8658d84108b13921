"""An upgrade while a bad client sends the ids of other clients' open requests."""
import os
import signal
import socket
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standins import HOST, Case, CannotRun, Client, Discovery, Node, Transcriber, config, free_port, settings  # noqa: E402

DESCRIPTOR = 7
SOUND_CLIENTS = 8
# SIGKILL follows SIGTERM after the longest deadline, counted as 3 s where it is longer, plus 0.7 s.
KILL_AFTER_S = 3.7


def sound_client(case, port, request, stopped, report, ended):
    """Opens a connection and sends a line every 2 s until told to stop; `report` says that it is up, `ended` when it has
    ended."""
    client = Client(port)
    client.send(f"OPEN {request} {request} c=speaker-tags,d=2000,g={request}")
    answer = client.receive(3)
    case.record.add(f"client {request}", f"sent its OPEN, was answered {answer}")
    report.append(answer)
    while not stopped.wait(2.0):
        try:
            client.send("hello")
            line = client.receive(1)
        except (OSError, TimeoutError):
            line = "no line"
        if line != "hello":
            ended[request] = case.record.now()
            case.record.add(f"client {request}", f"received {line}")
            break
    client.close()


def bad_client(case, port, requests, stopped, answers):
    """Sends the id of another client's open request, and the same again as soon as it is turned away."""
    kept = []
    while not stopped.is_set():
        for request in requests:
            if stopped.is_set():
                break
            try:
                client = Client(port)
                client.send(f"OPEN {request} {request} c=speaker-tags,d=2000,g={request}")
                answer = client.receive(3) or "close"
            except (OSError, TimeoutError) as error:
                answer = type(error).__name__
            answers.append((case.record.now(), request, answer))
            case.record.add("bad client", f"sent the id of the open request {request}, was answered {answer}")
            if answer.startswith("UP"):
                kept.append(client)
            else:
                client.close()
        stopped.wait(0.005)


def play(case, trouble):
    case.record.add("case", "two transcribers, one node, sound clients that stay, one bad client")
    # The platform holds the clients' listening socket; every process inherits it as descriptor 7. This comes first:
    # no other socket may have that number.
    port = free_port()
    listener = socket.create_server((HOST, port), backlog=512)
    os.dup2(listener.fileno(), DESCRIPTOR)
    listener.close()
    transcribers = [Transcriber(case.record, f"s-{number}") for number in range(2)]
    discovery = Discovery(case.record, [transcriber.host() for transcriber in transcribers])
    node_config = config("n0", port, discovery, free_port(), discovery.whole(), settings(1))
    environment = {"RELAY_INHERITED_FD": str(DESCRIPTOR)}

    def start():
        return Node(case, node_config, management=free_port(), environment=environment, descriptors=(DESCRIPTOR,))

    older = start()
    older.wait_until_ready()
    stopped, bad_stopped, up, ended, answers = threading.Event(), threading.Event(), [], {}, []
    requests = [f"{0xC0FFEE000000 + number:016x}" for number in range(SOUND_CLIENTS)]
    for request in requests:
        threading.Thread(target=sound_client, args=(case, port, request, stopped, up, ended), daemon=True).start()
    until = time.monotonic() + 5
    while len(up) < SOUND_CLIENTS and time.monotonic() < until:
        time.sleep(0.05)
    if len(up) < SOUND_CLIENTS or not all((answer or "").startswith("UP") for answer in up):
        raise CannotRun(f"the sound clients were answered {up}")

    bad = threading.Thread(target=bad_client, args=(case, port, requests, bad_stopped, answers), daemon=True)
    bad.start()
    time.sleep(2)
    if trouble:
        newer = start()
        newer.wait_until_ready()
        older.signal(signal.SIGTERM)
        try:
            older.process.wait(timeout=KILL_AFTER_S)
        except subprocess.TimeoutExpired:
            older.signal(signal.SIGKILL)
        case.record.add("platform", f"{older.label} has ended")
    time.sleep(2)
    # The bad client ends first: an id is free again once its sound client has left.
    bad_stopped.set()
    bad.join(timeout=10)
    if bad.is_alive():
        raise CannotRun("the bad client did not end")
    broken = judge(case, requests, transcribers, answers, ended)
    stopped.set()
    return broken


def judge(case, requests, transcribers, answers, ended):
    """Counts the times that the bad client was served with an id whose sound client had not seen its end by then."""
    counts = {}
    for _, _, answer in answers:
        word = answer.split(" ")[0]
        counts[word] = counts.get(word, 0) + 1
    case.record.add("judge", f"answers to the bad client: {counts}")
    served = [(at, request, answer) for at, request, answer in answers
              if answer.startswith("UP") and at < ended.get(request, float("inf"))]
    for at, request, answer in served:
        case.record.add("judge", f"at {at:.3f} s the bad client was served with the id of the open request {request}: {answer}")
    for transcriber in transcribers:
        for request, most in sorted(transcriber.most_at_once.items()):
            if most > 1:
                case.record.add(transcriber.name, f"held request {request} {most} times at once")
    for request in requests:
        sends = sum(1 for transcriber in transcribers for _, received in transcriber.received if received == request)
        case.record.add("transcribers", f"received request {request} {sends} times")
    if len(answers) < 20:
        raise CannotRun("the bad client sent too little")
    return bool(served)


if __name__ == "__main__":
    # TROUBLE=0: the same without the disruption.
    Case().run(play, trouble=os.environ.get("TROUBLE", "1") != "0", record_path=os.path.join(FOLDER, "record.txt"))
