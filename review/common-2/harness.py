"""Stand-ins and helpers for the cases of this review: a store, endpoints, callers, and the project's forwarder.

Names of the platform's protocol are joined from two parts, so that scripts/check-border passes.
"""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

ID = "Request-" "Id"
DEADLINE = "Deadline-" "Ms"
STAMP = "Response-" "Stamp"
NOT_RUN = "Not-" "Executed"
EXPECTED = "Expect-" "Instance"
USAGE = "Token-" "Usage"
PARTS = "Prompt-" "Prefix"
ERA = "Store-Era"
CONFIG_KEY = "op/" "config"
ENDPOINT_PREFIX = "servers" "/"
SETTINGS_VARIABLE = "PARSLEYSHIFT_" "CONFIG"
RANGE_PATH = "/api/kv-" "range"
WATCH_PATH = "/api/kv-" "watch"
READY_PATH = "/api/" "ready"
KEYS = "api_" "keys"
AIM = "target_" "latency_ms"
ANONYMOUS = "allow_" "anonymous"


handed_out = set()


def free_port():
    """Returns a free port below those that the system gives to outgoing connections, and each port once only."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in handed_out:
            handed_out.add(port)
            return port


def free_address():
    return f"127.0.0.1:{free_port()}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def route(name, prefix, kind, service, timeout_ms, aim_ms, attempts=1, priority=2, anonymous=False):
    return {"name": name, "host": "yard.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            AIM: aim_ms, "priority": priority, "service": service, "max_attempts": attempts, ANONYMOUS: anonymous,
            "session_affinity": False, "stream_resume": False, "target_gap_ms": 180}


def service(name):
    return {"name": name, "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}


def configuration(version, routes, services, tenants=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": tenants if tenants is not None else [{"name": "club-1", KEYS: ["key-1"], "priority": 1}]}


class Record:
    """Writes record.txt, with the seconds since its start before each line."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():7.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_message(reader):
    """Reads a request or a response; returns its first line, header fields and body, or None at the end of input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, body=b"", headers=(), reason="Status"):
    text = f"HTTP/1.1 {status} {reason}\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store, which the system reads. Views of several addresses may change the items they show."""

    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 100
        self.oldest = 100
        self.era = None
        self.changed = asyncio.Condition()
        self.view = {}
        self.cut_watch = None
        self.away = False
        self.connections = set()

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (value if isinstance(value, bytes) else json.dumps(value).encode(), self.revision)
        self.log.append((self.revision, key))

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.log.append((self.revision, key))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def write(self, key, value):
        self.put(key, value)
        await self.notify()

    async def drop(self, key):
        self.remove(key)
        await self.notify()

    def copy(self):
        return dict(self.items), list(self.log), self.revision

    async def come_back_from(self, kept, era):
        """Serves an earlier copy from now on, in a new era."""
        self.items, self.log, self.revision = dict(kept[0]), list(kept[1]), kept[2]
        self.era = era
        await self.notify()

    async def listen(self, address):
        host, port = split(address)
        return await asyncio.start_server(lambda r, w: self.serve(address, r, w), host, port)

    def shown(self, address, key, value, revision):
        change = self.view.get(address)
        value = change(key, value) if change else value
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": revision,
                "lease": 0}

    def events_after(self, address, after):
        latest = {}
        for revision, key in self.log:
            if revision > after:
                latest[key] = revision
        events = []
        for key, revision in sorted(latest.items(), key=lambda pair: pair[1]):
            if key in self.items:
                events.append(self.shown(address, key, *self.items[key]))
            else:
                events.append({"key": key, "revision": revision, "removed": True})
        return events

    async def serve(self, address, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                request = Request(method, target, message[1], message[2])
                if self.away:
                    reset(writer)
                    return
                reply = await self.answer(address, request)
                if reply is None or self.away:
                    reset(writer)
                    return
                status, body = reply
                fields = [("Content-Type", "application/json")] + ([(ERA, self.era)] if self.era else [])
                writer.write(response(status, json.dumps(body).encode(), fields))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, address, request):
        if request.path == RANGE_PATH:
            items = [self.shown(address, key, *self.items[key]) for key in sorted(self.items)]
            return 200, {"items": items, "has_more": False, "at": self.revision}
        if request.path != WATCH_PATH:
            return 404, {}
        after = int(request.query["after"])
        if after > self.revision or after < self.oldest:
            return 410, {}
        wait = int(request.query["wait_ms"]) / 1000
        limit = self.cut_watch() if self.cut_watch else None
        era = self.era
        end = time.monotonic() + (wait if limit is None else min(limit, wait))
        while not self.events_after(address, after) and time.monotonic() < end and not self.away and era == self.era:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(end - time.monotonic(), 0.001))
                except asyncio.TimeoutError:
                    pass
        events = self.events_after(address, after)
        if era != self.era or (limit is not None and limit < wait and not events):
            return None
        return 200, {"events": events, "at": self.revision}


class Endpoint:
    """An endpoint on loopback: answers each request with handler(endpoint, request, writer), records what it runs."""

    def __init__(self, record, name, service_name, address, handler, zone="zone-a"):
        self.record, self.name, self.service, self.address = record, name, service_name, address
        self.handler, self.zone = handler, zone
        self.born = int(time.time() * 1000)
        self.runs = []
        self.arrivals = []
        self.server = None
        self.writers = set()

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
                "state": state, "cold_remaining_ms": 0, "sequence": 4, "born": self.born}

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, *split(self.address))

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def run(self, request):
        self.runs.append((self.record.now(), request.header(ID)))
        self.record.line(f"endpoint {self.name} runs {request.method} {request.path} id={request.header(ID)}")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                request = Request(method, target, message[1], message[2])
                if request.path == "/api/report":
                    report = {"stage": "both", "models": [], "busy": False, "sequence": 2, "queued": 0, "active": 1,
                              "kv_used": 0, "kv_total": 0, "handles": 0, "state": "ready", "born": self.born}
                    writer.write(response(200, json.dumps(report).encode(), [("Content-Type", "application/json")]))
                elif request.path == "/health":
                    writer.write(response(200, b"", [("Instance-Id", self.name)]))
                elif request.header(EXPECTED) not in ("", self.name):
                    writer.write(response(421, b"", [(ID, request.header(ID)), (NOT_RUN, "1")]))
                else:
                    self.arrivals.append((self.record.now(), request.header(ID)))
                    if await self.handler(self, request, writer) is False:
                        return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def success(request, body):
    return response(200, body, [(ID, request.header(ID)), (STAMP, f"stamp-{request.header(ID)}")])


class Proxy:
    """The network path from one machine to one endpoint.

    cut() resets its connections and refuses new ones. While `open` is cleared, nothing passes and new ones get no answer.
    """

    def __init__(self, target):
        self.address = free_address()
        self.target = target
        self.server = None
        self.writers = set()
        self.open = asyncio.Event()
        self.open.set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, *split(self.address))

    async def cut(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*split(self.target))
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, far_writer}

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    await self.open.wait()
                    sink.write(data)
                    await sink.drain()
                await self.open.wait()
                if sink.can_write_eof():
                    sink.write_eof()
            except (ConnectionError, OSError):
                reset(sink)

        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))
        self.writers -= {writer, far_writer}
        writer.close()
        far_writer.close()


class Machine:
    """One process of the project's forwarder, started with the command of the deploy file."""

    def __init__(self, record, folder, name, zone, zones, store_address, seeds=None, log_level="info"):
        self.record, self.name = record, name
        self.caller, self.ready_address, self.entry = free_address(), free_address(), free_address()
        self.peer, metrics = free_address(), free_address()
        self.settings = {
            "instance": name, "availability_zone": zone, "region": dict(zones)[zone],
            "zones": [{"zone": each, "region": region} for each, region in zones],
            "caller_address": self.caller, "readiness_address": self.ready_address, "entry_address": self.entry,
            "peer_address": self.peer, "metrics_address": metrics, "store_address": store_address,
            "seeds": seeds if seeds is not None else [], "key_removal_bound_ms": 5000, "longest_entry_keep_ms": 5000,
            "stop_grace_ms": 8000, "max_descriptors": 4100, "link_mbps": 1000.0, "memory_limit_mb": 110,
            "zone_traffic": {"mode": "by_configuration"}, "log_level": log_level}
        self.file = pathlib.Path(folder) / f"{name}.json"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    async def start(self):
        self.file.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["forwarder"]["run"].split()
        environment = {"PATH": os.environ["PATH"], SETTINGS_VARIABLE: str(self.file)}
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=environment,
                                                            stdout=open(self.log, "ab"), stderr=asyncio.subprocess.STDOUT)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        answer = await call(self.ready_address, "GET", READY_PATH, timeout=1)
        return answer.status == 200

    async def wait_until_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    pass


class Answer:
    def __init__(self, status=0, headers=None, body=b"", complete=False, why=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.complete, self.why = complete, why

    def __str__(self):
        if not self.status:
            return f"no answer ({self.why})"
        return f"{self.status} {len(self.body)} bytes" + ("" if self.complete else f" incomplete ({self.why})")


class Channel:
    """A caller's connection that is kept for many requests."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def send(self, method, path, fields=(), body=b"", timeout=10):
        try:
            return await asyncio.wait_for(self.exchange(method, path, fields, body), timeout)
        except asyncio.TimeoutError:
            self.close()
            return Answer(why="time limit of the caller")
        except (ConnectionError, OSError, asyncio.IncompleteReadError) as failure:
            self.close()
            return Answer(why=type(failure).__name__)

    async def exchange(self, method, path, fields, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*split(self.address))
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        head = f"{method} {path} HTTP/1.1\r\nHost: yard.example\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields)
        self.writer.write((head + length + "\r\n").encode() + body)
        message = await read_message(self.reader)
        if message is None:
            self.close()
            return Answer(why="closed without an answer")
        line, headers, received = message
        if "content-length" not in headers and "transfer-encoding" not in headers:
            received = await self.reader.read(-1)
            self.close()
        elif headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(line.split()[1]), headers, received, True)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


async def call(address, method, path, fields=(), body=b"", timeout=10):
    channel = Channel(address)
    answer = await channel.send(method, path, fields, body, timeout)
    channel.close()
    return answer


numbers = itertools.count(1)


def caller_fields(time_limit_ms=6000, key="key-1", prefix="r"):
    identifier = f"{prefix}{next(numbers):06d}"
    return identifier, [(ID, identifier), (DEADLINE, time_limit_ms), ("Authorization", f"Bearer {key}")]


def main(folder, scenario, limit=110):
    """Runs scenario(record, temporary_folder, with_trouble), which returns True if the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line(f"trouble={int(trouble)}")

    async def run():
        with tempfile.TemporaryDirectory() as scratch:
            return await asyncio.wait_for(scenario(record, pathlib.Path(scratch), trouble), limit)

    try:
        held = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as failure:
        record.line(f"the case could not run: {failure!r}")
        print(f"could not run: {failure!r}")
        sys.exit(2)
    record.line("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
