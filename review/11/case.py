#!/usr/bin/env python3
"""Another writer leaves one odd entry among those of the engines: the key of an engine with a line end behind its id."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))
import kit  # noqa: E402

ZONES = [("ikeja", "lagos"), ("apapa", "lagos"), ("garki", "abuja")]
ORDERS = 40


async def run(engine, request, writer):
    """Runs what has arrived: the request that HTTP/1.1 says this is. What is no request gets 400 and the end of the channel."""
    if request.first.split(" ")[0] not in ("GET", "POST"):
        engine.rejected.append(request.first)
        writer.write(kit.head(400, [("Content-Length", 0), ("Connection", "close")]))
        await writer.drain()
        return False
    request_id = request.field(kit.REQUEST_ID)
    engine.runs.append((request_id, request.first, request.field("Tenant"), request.body))
    await asyncio.sleep(0.02)
    body = ("booked for %s\n" % request_id).encode()
    writer.write(kit.head(200, engine.stamp(request) + [("Content-Length", len(body))]) + body)
    await writer.drain()
    return True


async def play(record, folder, processes):
    store = kit.Store()
    await store.listen()
    tasks = [asyncio.create_task(store.expire())]
    engines = [kit.Engine("i-yard-%d" % number, "yard-desk", "ikeja", run) for number in (1, 2, 3)]
    for engine in engines:
        engine.runs, engine.rejected = [], []
        await engine.listen()
        tasks.append(asyncio.create_task(kit.beats(store, engine)))
    routes = [kit.route("orders", "/orders/", "non_idempotent", "yard-desk")]
    store.put(kit.CONFIG_KEY, kit.configuration(7, routes, [kit.plain_service("yard-desk")]))
    forwarder = kit.Forwarder(folder, 0, "ikeja", "lagos", ZONES, store, [])
    forwarder.settings["seeds"] = [forwarder.control]
    forwarder.start()
    processes.append(forwarder)
    await forwarder.await_ready()
    await asyncio.sleep(0.5)
    if kit.TROUBLE:
        key = engines[0].key + "\r\n"
        store.put(key, engines[0].entry())
        record.write("another writer puts the key %r with the value of %s" % (key.split("/")[1], engines[0].id))
        await asyncio.sleep(1.0)
    sent = {}
    answers = []
    for number in range(ORDERS):
        request_id = "%016x" % (0xCAFE000 + number)
        sent[request_id] = ("POST /orders/%d HTTP/1.1" % number, ("crew=%03d;paint=white;litres=20" % number).encode())
        answers.append(asyncio.create_task(kit.ask(forwarder.front, "POST", "/orders/%d" % number, request_id,
                                                   body=sent[request_id][1])))
        await asyncio.sleep(0.05)
    answered = {answer.id: answer for answer in await asyncio.gather(*answers)}
    wrong = 0
    for engine in engines:
        for first in engine.rejected:
            record.write("%s rejected what is no request: %r" % (engine.id, first[:60]))
        for request_id, first, tenant, body in engine.runs:
            is_wrong = (first, body) != sent[request_id] or tenant != "tenant-one"
            wrong += is_wrong
            if is_wrong:
                record.write("%s ran %s WRONG: tenant=%r body=%r, sent was body=%r; its consumer got status=%d" % (
                    engine.id, request_id, tenant, body, sent[request_id][1], answered[request_id].status))
    runs = sum(len(engine.runs) for engine in engines)
    good = sum(1 for answer in answered.values() if answer.status == 200)
    record.write("%d orders, %d runs, %d of them with another body or tenant; %d answered with 200" % (
        ORDERS, runs, wrong, good))
    if not kit.TROUBLE and good < ORDERS:
        raise kit.CannotRun("orders failed without the disruption")
    for task in tasks:
        task.cancel()
    return wrong == 0


kit.main(FOLDER, play)
