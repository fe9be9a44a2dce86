#!/usr/bin/env python3
"""A model engine that leaves freezes for three seconds while one of its runs is stopped for its move."""

import asyncio
import os
import signal
import subprocess
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
COMMON = os.path.join(os.path.dirname(FOLDER), "common-3")
sys.path.insert(0, COMMON)
import kit  # noqa: E402
import model_engine  # noqa: E402

ZONES = [("ikeja", "lagos"), ("apapa", "lagos"), ("garki", "abuja")]
STREAMS = 4
# One engine of six freezes and leaves: a share of 0.167.
OTHERS = 5
FROZEN_S = 3.0


class EngineProcess:
    """The process of an engine; this case writes its entry into the store."""

    def __init__(self, engine_id):
        self.entry = kit.Engine(engine_id, "plan-writers", "ikeja", None, "127.0.0.1", kit.free_port())
        self.process = subprocess.Popen(
            [sys.executable, "-B", os.path.join(COMMON, "model_engine.py"), engine_id, "ikeja", self.entry.address,
             str(self.entry.port)], stdout=subprocess.PIPE, text=True)
        self.lines = []
        self.on_line = None

    async def read(self, record):
        while True:
            line = await asyncio.to_thread(self.process.stdout.readline)
            if not line:
                return
            line = line.strip()
            if self.on_line:
                self.on_line(line)
            self.lines.append(line)
            record.write("%s: %s" % (self.entry.id, line))

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def services():
    service = kit.plain_service("plan-writers")
    service["engine"] = {"slots": 24, kit.MEMORY: 34338, "kv_bytes": 163840, "link_mbps": 24000.0, "moves": True,
                         "backups": True, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                         "handle_s": 5.0, "models": [{"name": "m"}]}
    return [service]


async def freeze_between_call_and_stop(record, engine, asked_to_stop):
    """Freezes the engine while it has the call to stop a run and its present step is not over. A freeze that comes too
    late for a run ends at once, and the next run's call is awaited."""
    for _ in range(STREAMS):
        try:
            run = await asyncio.wait_for(asked_to_stop.get(), 3.0)
        except asyncio.TimeoutError:
            break
        await asyncio.sleep(0.1)
        if any(line.startswith("stopped " + run) for line in engine.lines):
            engine.process.send_signal(signal.SIGCONT)
            continue
        engine.on_line = None
        record.write("%s is stopped (SIGSTOP) for %.1f s, asked to stop %s" % (engine.entry.id, FROZEN_S, run))
        await asyncio.sleep(FROZEN_S - 0.1)
        engine.process.send_signal(signal.SIGCONT)
        record.write("%s goes on" % engine.entry.id)
        return
    raise kit.CannotRun("no run was asked to stop while the engine froze")


async def play(record, folder, processes):
    store = kit.Store()
    await store.listen()
    tasks = [asyncio.create_task(store.expire())]
    leaver, *others = engines = [EngineProcess("i-plan-%d" % number) for number in range(1, 2 + OTHERS)]
    for engine in engines:
        processes.append(engine)
        tasks.append(asyncio.create_task(engine.read(record)))
    while not all("listening" in engine.lines for engine in engines):
        await asyncio.sleep(0.05)
    plans = kit.route("plans", "/plans/", "streaming", "plan-writers", timeout_ms=39000, max_attempts=1,
                      session_affinity=True, target_gap_ms=180, **{kit.OBJECTIVE: 1800})
    store.put(kit.CONFIG_KEY, kit.configuration(7, [plans], services()))
    beats = [asyncio.create_task(kit.beats(store, leaver.entry))]
    forwarder = kit.Forwarder(folder, 0, "ikeja", "lagos", ZONES, store, [])
    forwarder.settings["seeds"] = [forwarder.control]
    forwarder.start()
    processes.append(forwarder)
    await forwarder.await_ready()
    await asyncio.sleep(0.5)
    asked = []
    for number in range(STREAMS):
        fields = [("Model", "m"), (kit.USAGE, "300,2000"), (kit.PARTS, "5c1e07a2:200,%x:100" % (0xE000 + number))]
        asked.append(asyncio.create_task(kit.ask(forwarder.front, "POST", "/plans/1", "%016x" % (0xAAA000 + number),
                                                 deadline_ms=39000, body=b"plan", fields=fields)))
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    for engine in others:
        beats.append(asyncio.create_task(kit.beats(store, engine.entry)))
    await asyncio.sleep(0.6)
    asked_to_stop = asyncio.Queue()

    def freeze(line):
        if line.startswith("last "):
            leaver.process.send_signal(signal.SIGSTOP)
            asked_to_stop.put_nowait(line.split()[1])

    if kit.TROUBLE:
        leaver.on_line = freeze
    leaver.entry.state = "draining"
    store.put(leaver.entry.key, leaver.entry.entry())
    record.write("%s reports that it is draining" % leaver.entry.id)
    if kit.TROUBLE:
        await freeze_between_call_and_stop(record, leaver, asked_to_stop)
    wrong = 0
    whole = 0
    for answer in await asyncio.gather(*asked):
        expected = model_engine.whole_stream(answer.id)
        events = answer.body.count(b"\n\n")
        is_wrong = answer.status == 200 and answer.complete and answer.body != expected
        wrong += is_wrong
        whole += answer.complete and answer.body == expected
        record.write("stream %s: status=%d events=%d of %d, in order=%s, ended as complete=%s%s" % (
            answer.id, answer.status, events, model_engine.EVENTS, expected.startswith(answer.body), answer.complete,
            " WRONG: complete before its last piece" if is_wrong else ""))
    if not kit.TROUBLE and whole < STREAMS:
        raise kit.CannotRun("without the disruption, %d of %d streams were whole" % (whole, STREAMS))
    for task in tasks + beats:
        task.cancel()
    return wrong == 0


kit.main(FOLDER, play)
