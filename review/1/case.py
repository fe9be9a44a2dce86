"""An engine in trouble sends bytes without end in the body of a stream; forwarders run out of memory."""

import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from common import names
from common.http import Channel
from common.platform import Engine, Fleet, Record, begin_stream, chunk, configuration, engine_service, route, stream

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 110  # memory_mb of a machine of okonkwo-lines
MACHINES = 3
ENGINES = 4
CLIENTS = 16
MAX_TOKENS = 160  # 40 events
TROUBLE_AT_S = 5.0
TROUBLE_FOR_S = 22.0
# Rate of the engine in trouble, over all its channels: a third of a machine's link of 1,000 Mbit/s.
TROUBLE_BYTES_PER_S = 40_000_000
# A client abandons a stream after a gap of four times the objective of 1,800 ms.
ABANDON_S = 7.2
RESTART_S = 1.0
# LOST: more than three times.
TOLERATED_LOSSES = 3

record = Record(os.path.join(HERE, "record.txt"))
trouble = threading.Event()
stopping = threading.Event()


class Pace:
    """Shares a rate in bytes per second among the channels of an engine."""

    def __init__(self, rate):
        self.rate = rate
        self.lock = threading.Lock()
        self.next = time.monotonic()

    def wait(self, size):
        with self.lock:
            self.next = max(self.next, time.monotonic()) + size / self.rate
            until = self.next
        time.sleep(max(0.0, until - time.monotonic()))


pace = Pace(TROUBLE_BYTES_PER_S)
LOG_LINES = b"2026-12-05T08:00:00.000 worker 7: cannot flush the write buffer, trying again\n" * 800


def stream_or_trouble(engine, connection, request):
    """Sound until the trouble begins; then its log runs into the body until the caller closes."""
    if not trouble.is_set():
        return stream(engine, connection, request)
    begin_stream(engine, connection, request)
    while not stopping.is_set():
        pace.wait(len(LOG_LINES))
        connection.sendall(chunk(LOG_LINES))
    return False


class Clients:
    """Clients with kept channels, which ask the machines at random for marking plans."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.lock = threading.Lock()
        self.outcomes = []
        self.threads = [threading.Thread(target=self.run, args=(number,), daemon=True) for number in range(CLIENTS)]

    def run(self, number):
        random_source = random.Random(number)
        channel = None
        count = 0
        time.sleep(number * 0.2)
        while not stopping.is_set():
            count += 1
            request_id = "c%dr%d" % (number, count)
            try:
                if channel is None or not channel.open:
                    channel = Channel(random_source.choice(self.fleet.forwarders).front, ABANDON_S)
            except OSError:
                time.sleep(0.3)
                continue
            fields = [("Host", "h.example"), (names.REQUEST_ID, request_id), (names.MODEL, "m"),
                      (names.TOKEN_USAGE, "1460,%d" % MAX_TOKENS), (names.PROMPT_PARTS, "%x:1460" % (number + 1)),
                      (names.DEADLINE, "39000"), ("Authorization", "Bearer key-1")]
            began = record.now()
            answer = channel.exchange("POST", "/plan/1", fields, b"p" * 600)
            with self.lock:
                self.outcomes.append((request_id, began, answer))
            if answer.status != 200 and answer.complete:
                time.sleep(0.5)


def enforce_memory(fleet, kills):
    """The platform kills a process that exceeds its memory, and starts it again after a short delay."""
    while not stopping.is_set():
        time.sleep(0.03)
        for each in fleet.forwarders:
            used = each.resident_mb()
            if each.running() and used > MEMORY_MB:
                record.write("platform: %s uses %.0f MB of %d" % (each.name, used, MEMORY_MB))
                each.signal(signal.SIGKILL)
                each.process.wait()
                kills[each.name] += 1
                threading.Timer(RESTART_S, each.start).start()
            elif not each.running() and each.process.returncode != -signal.SIGKILL:
                record.write("platform: %s ended by itself, code %s" % (each.name, each.process.returncode))
                return


def main():
    places = [("ikeja", "lagos"), ("apapa", "lagos"), ("garki", "abuja")]
    with Fleet(record, places[:MACHINES]) as fleet:
        engines = [Engine(fleet.store, record, "i-%d" % (index + 1), "plan-writers", places[index % 3][0],
                          stream_or_trouble if index == 0 else stream, slots=24) for index in range(ENGINES)]
        fleet.operator.write(configuration(1, [route("plan", "/plan/", "streaming", "plan-writers", 39000, 1800)],
                                           [engine_service("plan-writers")], [("tenant-1", ["key-1"])]))
        if not fleet.start():
            record.write("the forwarders did not become ready")
            return 2
        kills = {each.name: 0 for each in fleet.forwarders}
        threading.Thread(target=enforce_memory, args=(fleet, kills), daemon=True).start()
        clients = Clients(fleet)
        for thread in clients.threads:
            thread.start()
        time.sleep(TROUBLE_AT_S)
        peak = max(each.resident_mb() for each in fleet.forwarders)
        record.write("memory of the largest process before the trouble: %.0f MB" % peak)
        if TROUBLE:
            trouble.set()
            record.write("engine i-1 in trouble: its log runs into its answers, without end")
        time.sleep(TROUBLE_FOR_S)
        record.write("memory at the end: %s" % ", ".join("%.0f MB" % each.resident_mb() for each in fleet.forwarders))
        with clients.lock:
            outcomes = list(clients.outcomes)
        stopping.set()
        return judge(outcomes, engines, kills)


def judge(outcomes, engines, kills):
    sound_runs = {run[1] for engine in engines[1:] for run in engine.runs}
    complete = sum(1 for _, _, answer in outcomes if answer.complete and answer.status == 200)
    lost = [(request_id, began, answer) for request_id, began, answer in outcomes
            if request_id in sound_runs and not answer.complete and answer.why.startswith("channel closed")]
    for request_id, began, answer in lost:
        record.write("lost: %s, sent at %.2f, run by a sound engine, %d bytes of its answer arrived, %s"
                     % (request_id, began, len(answer.body), answer.why))
    record.write("requests ended: %d, complete: %d, lost at sound engines: %d" % (len(outcomes), complete, len(lost)))
    record.write("processes killed for memory: %s" % kills)
    if complete == 0:
        record.write("no request was served")
        return 2
    broken = len(lost) > TOLERATED_LOSSES
    record.write("LOST is %s" % ("broken" if broken else "kept"))
    if sum(1 for count in kills.values() if count >= 3) >= 2:
        record.write("Fault: processes of two machines or more ended three times")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
