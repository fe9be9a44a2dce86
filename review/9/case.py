"""A machine that is partitioned from all endpoints passes orders on; the endpoint's answer is a refusal of its own."""
import asyncio
import pathlib
import sys
from collections import Counter

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import harness as h  # noqa: E402

ZONES = [("zone-a", "west"), ("zone-b", "east")]
ORDERS = 12


async def book(endpoint, request, writer):
    """Works on the order and reports a conflict, as a booking service does when the day is already taken."""
    endpoint.run(request)
    await asyncio.sleep(0.06)
    writer.write(h.response(409, b"the crew is booked on that day\n", [(h.ID, request.header(h.ID))], "Conflict"))


async def scenario(record, scratch, trouble):
    store = h.Store()
    endpoints = [h.Endpoint(record, f"i-{n}", "yard-desk", h.free_address(), book, zone)
                 for n, zone in enumerate(["zone-a", "zone-b", "zone-b"])]
    paths = {}
    for endpoint in endpoints:
        await endpoint.listen()
        paths[endpoint.address] = h.Proxy(endpoint.address)
        await paths[endpoint.address].listen()
        store.put(h.ENDPOINT_PREFIX + endpoint.name, endpoint.entry())
    store.put(h.CONFIG_KEY, h.configuration(
        7, [h.route("r-1", "/orders/", "non_idempotent", "yard-desk", 6000, 400)], [h.service("yard-desk")]))

    # The machine of the first region reaches the endpoints through proxies, its network path to them.
    west, east = h.free_address(), h.free_address()

    def through_proxies(_, value):
        for address, path in paths.items():
            value = value.replace(address.encode(), path.address.encode())
        return value

    store.view[west] = through_proxies
    await store.listen(west)
    await store.listen(east)
    machines = [h.Machine(record, scratch, "m-1", "zone-a", ZONES, west),
                h.Machine(record, scratch, "m-2", "zone-b", ZONES, east),
                h.Machine(record, scratch, "m-3", "zone-b", ZONES, east)]
    for machine in machines:
        machine.settings["seeds"] = [each.peer for each in machines]
    try:
        for machine in machines:
            await machine.start()
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3)
        if trouble:
            record.line("m-1 is partitioned from all endpoints from now on")
            for path in paths.values():
                await path.cut()
            await asyncio.sleep(1)
        answers = {}

        async def order():
            identifier, fields = h.caller_fields()
            answer = await h.call(machines[0].caller, "POST", "/orders/2f", fields, b"pitch 4, Saturday")
            answers[identifier] = answer
            record.line(f"caller got {answer} for id={identifier}")

        for _ in range(ORDERS):
            await order()
            await asyncio.sleep(0.3)
    finally:
        for machine in machines:
            await machine.stop()
    runs = Counter(identifier for endpoint in endpoints for _, identifier in endpoint.runs)
    twice = [identifier for identifier, count in runs.items() if count > 1]
    denied = [identifier for identifier, answer in answers.items() if answer.status == 503 and runs[identifier]]
    record.line(f"orders that ran more than once: {len(twice)} of {ORDERS}; answered 503 though they ran: {len(denied)}")
    if not runs:
        raise h.CannotRun("no order has run")
    return not twice


h.main(HERE, scenario)
