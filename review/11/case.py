#!/usr/bin/env python3
"""An engine is killed in the middle of answers that have no length and end with their channel."""

import asyncio
import os
import subprocess
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
COMMON = os.path.join(os.path.dirname(FOLDER), "common-3")
sys.path.insert(0, COMMON)
import crashing_engine  # noqa: E402
import kit  # noqa: E402

ZONES = [("ikeja", "lagos"), ("apapa", "lagos"), ("garki", "abuja")]
REQUESTS = 6


class EngineProcess:
    """The process of an engine; this case writes its entry into the store as long as it runs."""

    def __init__(self, engine_id):
        self.entry = kit.Engine(engine_id, "yard-desk", "ikeja", None, "127.0.0.1", kit.free_port())
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(COMMON, "crashing_engine.py"), engine_id, self.entry.address,
             str(self.entry.port)], stdout=subprocess.PIPE, text=True)
        self.lines = []

    async def read(self):
        while True:
            line = await asyncio.to_thread(self.process.stdout.readline)
            if not line:
                return
            self.lines.append(line.strip())

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def play(record, folder, processes):
    store = kit.Store()
    await store.listen()
    tasks = [asyncio.create_task(store.expire())]
    engine = EngineProcess("i-yard-1")
    processes.append(engine)
    tasks.append(asyncio.create_task(engine.read()))
    while "listening" not in engine.lines:
        await asyncio.sleep(0.05)
    routes = [kit.route("orders", "/orders/", "non_idempotent", "yard-desk"),
              kit.route("lookups", "/lookups/", "idempotent", "yard-desk")]
    store.put(kit.CONFIG_KEY, kit.configuration(7, routes, [kit.plain_service("yard-desk")]))
    beats = asyncio.create_task(kit.beats(store, engine.entry))
    tasks.append(beats)
    forwarder = kit.Forwarder(folder, 0, "ikeja", "lagos", ZONES, store, [])
    forwarder.settings["seeds"] = [forwarder.control]
    forwarder.start()
    processes.append(forwarder)
    await forwarder.await_ready()
    await asyncio.sleep(0.5)
    record.write("the forwarder is ready; %d requests are sent" % REQUESTS)
    asked = []
    for number in range(REQUESTS):
        request_id = "%016x" % (0xABC000 + number)
        method, path = [("POST", "/orders/%d" % number), ("GET", "/lookups/%d" % number)][number % 2]
        asked.append(asyncio.create_task(kit.ask(forwarder.front, method, path, request_id, body=b"paint"
                                                 if method == "POST" else b"")))
    for _ in range(100):
        if len([line for line in engine.lines if line.startswith("half")]) == REQUESTS:
            break
        await asyncio.sleep(0.02)
    else:
        raise kit.CannotRun("the engine did not begin all answers: %s" % engine.lines)
    await asyncio.sleep(0.2)
    if kit.TROUBLE:
        record.write("the engine's process is killed, after half of each answer")
        beats.cancel()
        engine.process.kill()
    wrong = 0
    whole = 0
    for answer in await asyncio.gather(*asked):
        expected = crashing_engine.whole_body(answer.id)
        is_success = 200 <= answer.status < 300 and answer.complete
        is_wrong = is_success and (answer.body != expected or not answer.stamped())
        wrong += is_wrong
        whole += is_success and not is_wrong
        record.write("answer to %s: status=%d complete=%s content-length=%s stamp=%s body=%d of %d bytes%s" % (
            answer.id, answer.status, answer.complete, answer.fields.get("content-length"), answer.stamped(),
            len(answer.body), len(expected), " WRONG: a success with a part of the engine's body" if is_wrong else ""))
    record.write("engine: %s" % "; ".join(engine.lines))
    if not kit.TROUBLE and whole < REQUESTS:
        raise kit.CannotRun("without the disruption, %d of %d answers were whole" % (whole, REQUESTS))
    for task in tasks:
        task.cancel()
    return wrong == 0


kit.main(FOLDER, play)
