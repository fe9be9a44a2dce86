"""The store comes back from a copy that still lists an endpoint whose removal the machine has read."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import harness as h  # noqa: E402

ZONES = [("zone-a", "west")]
DRAIN_S = 3.0
HEARTBEAT_S = 1.2


async def work(endpoint, request, writer):
    endpoint.run(request)
    await asyncio.sleep(0.06)
    writer.write(h.success(request, b"booked\n"))


async def scenario(record, scratch, trouble):
    store = h.Store()
    store.era = 1
    address = h.free_address()
    endpoints = [h.Endpoint(record, f"i-{n}", "yard-desk", h.free_address(), work) for n in range(3)]
    for endpoint in endpoints:
        await endpoint.listen()
        store.put(h.ENDPOINT_PREFIX + endpoint.name, endpoint.entry())
    store.put(h.CONFIG_KEY, h.configuration(
        7, [h.route("r-1", "/orders/", "non_idempotent", "yard-desk", 6000, 400)], [h.service("yard-desk")]))
    await store.listen(address)
    machine = h.Machine(record, scratch, "m-1", "zone-a", ZONES, address)
    machine.settings["seeds"] = [machine.peer]
    leaving = endpoints[0]
    lost = answered = 0
    try:
        await machine.start()
        await machine.wait_until_ready()
        ended = asyncio.Event()

        async def order():
            nonlocal lost, answered
            identifier, fields = h.caller_fields()
            answer = await h.call(machine.caller, "POST", "/orders/2f", fields, b"pitch 4")
            answered += answer.status == 200
            if answer.status not in (200, 503, 429) and any(identifier == run for _, run in leaving.runs):
                lost += 1
                record.line(f"caller got {answer} for id={identifier}, which ran at {leaving.name}")

        async def traffic():
            tasks = []
            while not ended.is_set():
                tasks.append(asyncio.create_task(order()))
                await asyncio.sleep(0.04)
            await asyncio.gather(*tasks)

        load = asyncio.create_task(traffic())
        await asyncio.sleep(6)
        kept = store.copy()
        await asyncio.sleep(1)
        record.line(f"endpoint {leaving.name} withdraws its entry; it never reports that it leaves, and serves on")
        await store.drop(h.ENDPOINT_PREFIX + leaving.name)
        removed_at = record.now()
        await asyncio.sleep(1.5)
        if trouble:
            record.line("the store is away for a moment")
            store.away = True
            await store.notify()
            for writer in list(store.connections):
                h.reset(writer)
            await asyncio.sleep(0.5)
            store.away = False
            await store.come_back_from(kept, 2)
            record.line("the store is back from a copy that is 3 s old, in the next era")
        else:
            await asyncio.sleep(0.5)
        await asyncio.sleep(3 * HEARTBEAT_S)
        if trouble:
            await store.drop(h.ENDPOINT_PREFIX + leaving.name)
            record.line(f"the entry of {leaving.name}, which nothing renews, is removed again")
        await asyncio.sleep(0.5)
        leaving.stop()
        record.line(f"endpoint {leaving.name} has ended")
        await asyncio.sleep(1)
        ended.set()
        await load
    finally:
        await machine.stop()
    late = [when for when, _ in leaving.runs if when > removed_at + DRAIN_S]
    record.line(f"requests that reached {leaving.name} later than {DRAIN_S:.0f} s after the machine had read of its "
                f"removal: {len(late)}; answered orders: {answered}; orders lost at its end: {lost}")
    if not answered:
        raise h.CannotRun("no request was served")
    return not late


h.main(HERE, scenario)
