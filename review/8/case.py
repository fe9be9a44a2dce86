"""A process is killed while its requests wait for permits; the grants reach its successor, whose requests have the same numbers."""
import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import harness as h  # noqa: E402

ZONES = [("zone-a", "west"), ("zone-b", "west"), ("zone-c", "west")]
SERVICES = {"plan-writers": "/plans/", "letter-writers": "/letters/"}
KV = "kv_" "capacity"
SLOTS = 2
WAITING = 24
RESTART_S = 0.3
EVENT_S = 0.1
foreign = []


async def write(endpoint, request, writer):
    """Streams as many events as the path says, one every 0.1 s."""
    endpoint.run(request)
    if not request.path.startswith(SERVICES[endpoint.service]):
        foreign.append(request.header(h.ID))
        endpoint.record.line(f"endpoint {endpoint.name} of {endpoint.service} got {request.path}, which no configuration "
                             "has ever sent there")
    writer.write((f"HTTP/1.1 200 OK\r\n{h.ID}: {request.header(h.ID)}\r\n{h.STAMP}: stamp-{request.header(h.ID)}\r\n"
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(1, int(request.path.split("/")[2]) + 1):
        await asyncio.sleep(EVENT_S)
        if writer.is_closing():
            return False
        event = f"id: {number}\ndata: line {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def scenario(record, scratch, trouble):
    store = h.Store()
    address = h.free_address()
    endpoints = [h.Endpoint(record, f"{service}-{n}", service, h.free_address(), write, ZONES[n][0])
                 for service in SERVICES for n in range(2)]
    for endpoint in endpoints:
        await endpoint.listen()
        store.put(h.ENDPOINT_PREFIX + endpoint.name, {**endpoint.entry(), "slots": SLOTS})
    engine = {"slots": SLOTS, KV: 34338, "moves": False, "stride": 4}
    store.put(h.CONFIG_KEY, h.configuration(
        7, [h.route(service, prefix, "streaming", service, 39000, 4000) for service, prefix in SERVICES.items()],
        [dict(h.service(service), engine=engine) for service in SERVICES]))
    await store.listen(address)
    machines = [h.Machine(record, scratch, f"m-{n}", ZONES[n][0], ZONES, address) for n in range(3)]
    for machine in machines:
        machine.settings["seeds"] = [each.peer for each in machines]

    async def ask(machine, service, events, delay=0.0):
        await asyncio.sleep(delay)
        identifier, fields = h.caller_fields(39000)
        fields += [("Model", "m"), (h.USAGE, f"300,{4 * events}"), (h.PARTS, "5c1e07a2:79,e4402b7d:221")]
        answer = await h.call(machine.caller, "POST", f"{SERVICES[service]}{events}", fields, identifier.encode(), 39)
        record.line(f"caller of {machine.name} got {answer} for id={identifier} ({service})")

    tasks = []
    try:
        for machine in machines:
            await machine.start()
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3)
        # One request for each service shows which machines schedule; the one that is killed schedules neither.
        await asyncio.gather(*(ask(machines[0], service, 1) for service in SERVICES))
        idle = [machine for machine in machines if "scheduling pool" not in machine.log.read_text()]
        if not idle:
            raise h.CannotRun("every machine schedules a service")
        killed = idle[-1]
        other = next(machine for machine in machines if machine is not killed)
        record.line(f"{killed.name} schedules nothing; callers of {other.name} take all slots")
        tasks += [asyncio.create_task(ask(other, "plan-writers", 24 + 12 * n)) for n in range(2)]
        tasks += [asyncio.create_task(ask(other, "letter-writers", 60)) for _ in range(2 * SLOTS)]
        await asyncio.sleep(0.5)
        tasks += [asyncio.create_task(ask(killed, "plan-writers", 5, 0.01 * n)) for n in range(WAITING)]
        await asyncio.sleep(0.35)
        if trouble:
            record.line(f"the process of {killed.name} is killed and starts again")
            killed.signal(signal.SIGKILL)
            await killed.process.wait()
            await asyncio.sleep(RESTART_S)
            await killed.start()
            await killed.wait_until_ready()
            record.line(f"{killed.name} is ready again")
        tasks += [asyncio.create_task(ask(killed, "letter-writers", 5, 0.01 * n)) for n in range(WAITING)]
        await asyncio.wait(tasks, timeout=40)
    finally:
        for machine in machines:
            await machine.stop()
    record.line(f"requests that ran at a service of another route: {foreign}")
    if not any(endpoint.runs for endpoint in endpoints):
        raise h.CannotRun("no request has run")
    return not foreign


h.main(HERE, scenario)
