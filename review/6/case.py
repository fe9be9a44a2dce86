"""Requests that wait for a permit are passed on when their machine loses its links, and start a second time afterwards."""
import asyncio
import pathlib
import sys
from collections import Counter

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import harness as h  # noqa: E402

ZONES = [("zone-a", "west"), ("zone-b", "east"), ("zone-c", "east")]
EVENTS = 30
EVENT_S = 0.1
CUT_S = 3.0
CALLERS = 8
KV = "kv_" "capacity"
KEY_SEEN = []


async def write_plan(endpoint, request, writer):
    """Streams one event every 0.1 s, in chunks."""
    endpoint.run(request)
    if request.header("Authorization"):
        KEY_SEEN.append(request.header(h.ID))
        endpoint.record.line(f"endpoint {endpoint.name} got the caller's key with id={request.header(h.ID)}")
    writer.write((f"HTTP/1.1 200 OK\r\n{h.ID}: {request.header(h.ID)}\r\n{h.STAMP}: stamp-{request.header(h.ID)}\r\n"
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        if writer.is_closing():
            return False
        event = f"id: {number}\ndata: line {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def scenario(record, scratch, trouble):
    store = h.Store()
    endpoints = [h.Endpoint(record, f"i-{n}", "plan-writers", h.free_address(), write_plan, ZONES[n % 3][0])
                 for n in range(6)]
    paths = {}
    for endpoint in endpoints:
        await endpoint.listen()
        paths[endpoint.address] = h.Proxy(endpoint.address)
        await paths[endpoint.address].listen()
        store.put(h.ENDPOINT_PREFIX + endpoint.name, endpoint.entry())
    engines = dict(h.service("plan-writers"), engine={"slots": 24, KV: 34338, "moves": False, "stride": 4})
    store.put(h.CONFIG_KEY, h.configuration(
        7, [h.route("r-1", "/plans/", "streaming", "plan-writers", 39000, 1800)], [engines]))
    west, east = h.free_address(), h.free_address()

    def through_proxies(_, value):
        for address, path in paths.items():
            value = value.replace(address.encode(), path.address.encode())
        return value

    store.view[west] = through_proxies
    await store.listen(west)
    await store.listen(east)
    machines = [h.Machine(record, scratch, f"m-{n}", *place) for n, place in
                enumerate([("zone-a", ZONES, west), ("zone-b", ZONES, east), ("zone-c", ZONES, east)])]
    for machine in machines:
        machine.settings["seeds"] = [each.peer for each in machines]
    answers = {}

    async def ask(delay=0.0, body=b"plan of pitch 4"):
        await asyncio.sleep(delay)
        identifier, fields = h.caller_fields(39000)
        fields += [("Model", "m"), (h.USAGE, "3000,480"), (h.PARTS, "5c1e07a2:79,e4402b7d:2921")]
        answers[identifier] = await h.call(machines[0].caller, "POST", "/plans/2f", fields, body,
                                           timeout=39)
        record.line(f"caller got {answers[identifier]} for id={identifier}")

    try:
        for machine in machines:
            await machine.start()
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3)
        first = asyncio.create_task(ask())
        await asyncio.sleep(1)
        crashed = next(endpoint for endpoint in endpoints if endpoint.runs)
        record.line(f"endpoint {crashed.name} crashes while it runs the first request")
        crashed.server.close()
        await paths[crashed.address].cut()
        for writer in list(crashed.writers):
            writer.close()
        await first
        await asyncio.sleep(3.6)
        await store.drop(h.ENDPOINT_PREFIX + crashed.name)
        await asyncio.sleep(1)
        load = [asyncio.create_task(ask(0.02 * number)) for number in range(CALLERS)]
        load += [asyncio.create_task(ask(0.25 * number, b"plan of pitch %d" % (100 + number))) for number in range(24)]
        await asyncio.sleep(1)
        if trouble:
            record.line("m-0 is partitioned from all endpoints")
            for path in paths.values():
                path.open.clear()
            await asyncio.sleep(CUT_S)
            record.line("the partition is over")
            for path in paths.values():
                path.open.set()
        await asyncio.wait(load, timeout=60)
        await asyncio.sleep(1)
    finally:
        for machine in machines:
            await machine.stop()
    runs = Counter(identifier for endpoint in endpoints for _, identifier in endpoint.runs)
    twice = [identifier for identifier, count in runs.items() if count > 1]
    record.line(f"requests that ran more than once: {twice}; requests whose key an endpoint got: {KEY_SEEN}")
    if not runs:
        raise h.CannotRun("no request has run")
    return not twice


h.main(HERE, scenario)
