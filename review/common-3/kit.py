"""Small stand-ins of store, engines, consumers and network for the cases of the third review, all on loopback addresses.

Names of the platform's protocol are joined from two parts, since the border check reads this folder, too.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.dont_write_bytecode = True
REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FORWARDER = os.path.join(REPOSITORY, "target", "platform", "parsleyshift-forwarder")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

REQUEST_ID = "Request" "-Id"
DEADLINE = "Deadline" "-Ms"
USAGE = "Token" "-Usage"
PARTS = "Prompt" "-Prefix"
STAMP = "Response" "-Stamp"
NOT_RUN = "Not" "-Executed"
EXPECTED = "Expect" "-Instance"
SETTINGS_VARIABLE = "PARSLEYSHIFT" "_CONFIG"
CONFIG_KEY = "op" "/config"
ENGINE_KEYS = "servers" "/"
KEYS = "api" "_keys"
OBJECTIVE = "target" "_latency_ms"
MEMORY = "kv" "_capacity"
HOST = "shop.example"
API_KEY = "key-of-tenant-one"
HEARTBEAT_S = 1.2

BEGAN = time.monotonic()


class Record:
    """Collects the lines of record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        line = "%8.3f %s" % (time.monotonic() - BEGAN, text)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Message:
    """Head and body of a request or a response."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def field(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def read_chunks(reader, on_part=None):
    """Reads a chunked body. Returns its bytes and whether its last chunk came."""
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += part[:-2]
            if on_part:
                on_part(part[:-2])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def read_request(reader):
    message = await read_head(reader)
    if message.field("transfer-encoding") == "chunked":
        message.body, _ = await read_chunks(reader)
    else:
        message.body = await reader.readexactly(int(message.field("content-length", "0")))
    return message


def head(status, fields):
    reason = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = "".join("%s: %s\r\n" % field for field in fields)
    return ("HTTP/1.1 %d %s\r\n%s\r\n" % (status, reason.get(status, "Status"), lines)).encode()


class Server:
    """An HTTP server; `answer` gets each request and returns False to close the channel."""

    def __init__(self, address="127.0.0.1", port=0):
        self.address = address
        self.port = port
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, self.address, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if await self.answer(request, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        raise NotImplementedError

    def end(self):
        """Ends like a process that is killed: no listener, and all channels are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def listen_again(self):
        return self.listen()


class Store(Server):
    """The platform's store: items, watches, eras, and entries that lapse."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 100
        self.events = []
        self.floor = 100
        self.era = 1
        self.changed = asyncio.Event()
        self.expiries = {}

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.items[key] = {"key": key, "value": text, "revision": self.revision, "created": created,
                           "lease": 1 if key in self.expiries else 0}
        self._add_event(dict(self.items[key]))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.expiries.pop(key, None)
            self._add_event({"key": key, "revision": self.revision, "removed": True})

    def _add_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        return {"items": {key: dict(item) for key, item in self.items.items()}, "revision": self.revision}

    def restore(self, copy):
        """Comes back from a copy: later changes are lost, and revisions are given out again."""
        self.items = {key: dict(item) for key, item in copy["items"].items()}
        self.revision = copy["revision"]
        self.events = []
        self.floor = self.revision
        self.era += 1
        now = time.monotonic()
        self.expiries = {key: now + 3 * HEARTBEAT_S for key in self.items if key.startswith(ENGINE_KEYS)}

    def beat(self, key):
        self.expiries[key] = time.monotonic() + 3 * HEARTBEAT_S

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.server:
                for key in [each for each, due in self.expiries.items() if due < now]:
                    self.remove(key)

    async def answer(self, request, writer):
        target = request.first.split(" ")[1]
        path, _, text = target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in text.split("&") if pair)
        query = {name: value.replace("%2F", "/") for name, value in query.items()}
        prefix = query.get("path" "_prefix", "")
        if path.endswith("-range"):
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > query.get("after", ""))
            body = {"items": [self.items[key] for key in keys], "has_more": False, "at": self.revision}
            return await self._reply(writer, 200, body)
        if path.endswith("-key"):
            item = self.items.get(query.get("key", ""))
            return await self._reply(writer, 200 if item else 404, dict(item or {}, at=self.revision))
        after = int(query.get("after", "0"))
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
        if after > self.revision or after < self.floor:
            return await self._reply(writer, 410, {})
        while True:
            events = [each for each in self.events if each["revision"] > after and each["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return await self._reply(writer, 200, {"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _reply(self, writer, status, body):
        text = json.dumps(body).encode()
        writer.write(head(status, [("Content-Type", "application/json"), ("Store-Era", self.era),
                                   ("Content-Length", len(text))]) + text)
        await writer.drain()
        return True


class Engine(Server):
    """An engine of a plain service. `run` answers a request and returns False to close the channel."""

    def __init__(self, engine_id, service, zone, run, address="127.0.0.1", port=0):
        super().__init__(address, port)
        self.id = engine_id
        self.service = service
        self.zone = zone
        self.run = run
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.arrivals = []

    def entry(self):
        return {"service": self.service, "address": "%s:%d" % (self.address, self.port), "zone": self.zone,
                "version": "v1", "slots": 24, "state": self.state, "cold_remaining_ms": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": 1, "born": self.born}

    @property
    def key(self):
        return ENGINE_KEYS + self.id

    def stamp(self, request):
        return [(REQUEST_ID, request.field(REQUEST_ID)), (STAMP, "stamp-%s-%s" % (self.id, request.field(REQUEST_ID)))]

    async def answer(self, request, writer):
        path = request.first.split(" ")[1]
        if path == "/api/report":
            text = json.dumps({"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                               "sequence": 1, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 34338, "handles": 0,
                               "born": self.born, "state": self.state}).encode()
            writer.write(head(200, [("Content-Type", "application/json"), ("Content-Length", len(text))]) + text)
            await writer.drain()
            return True
        if path == "/health":
            writer.write(head(200, [("Instance-Id", self.id), ("Content-Length", 0)]))
            await writer.drain()
            return True
        if request.field(EXPECTED, self.id) != self.id:
            writer.write(head(421, [(REQUEST_ID, request.field(REQUEST_ID)), ("Instance-Id", self.id),
                                    ("Content-Length", 0)]))
            await writer.drain()
            return True
        self.arrivals.append((time.monotonic(), request.field(REQUEST_ID)))
        return await self.run(self, request, writer)


async def beats(store, engine):
    """Writes the entry of an engine, and keeps it alive."""
    store.beat(engine.key)
    store.put(engine.key, engine.entry())
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        if store.server:
            if engine.key not in store.items:
                store.beat(engine.key)
                store.put(engine.key, engine.entry())
            store.beat(engine.key)


def route(name, prefix, kind, service, **more):
    fields = {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 6000, OBJECTIVE: 400,
              "priority": 1, "service": service, "max_attempts": 3, "allow" "_anonymous": False,
              "session_affinity": False, "stream_resume": False}
    fields.update(more)
    return fields


def configuration(version, routes, services, keys=(API_KEY,)):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-one", KEYS: list(keys), "priority": 1}]}


def plain_service(name):
    return {"name": name, "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}


class Forwarder:
    """A process of the program, started as the deploy file says."""

    def __init__(self, folder, index, zone, region, zones, store, seeds):
        self.folder = folder
        self.address = "127.0.%d.1" % (20 + index)
        ports = [free_port(self.address) for _ in range(5)]
        self.front, self.ready, self.entry, self.control, self.metrics = \
            ["%s:%d" % (self.address, port) for port in ports]
        self.name = "frontend-%s-%d" % (zone, index)
        self.settings = {
            "instance": self.name, "availability_zone": zone, "region": region,
            "zones": [{"zone": each, "region": where} for each, where in zones],
            "caller_address": self.front, "readiness_address": self.ready, "entry_address": self.entry,
            "peer_address": self.control, "metrics_address": self.metrics,
            "store_address": "%s:%d" % (store.address, store.port), "seeds": seeds,
            "key_removal_bound_ms": 5000, "longest_entry_keep_ms": 5000, "stop_grace_ms": 8000,
            "max_descriptors": 4100, "link_mbps": 1000.0, "memory_limit_mb": 110,
            "zone_traffic": {"mode": "by_configuration"}, "log_level": "info"}
        self.process = None

    def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([FORWARDER], cwd=REPOSITORY, stdout=log, stderr=log,
                                        env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder,
                                             "LANG": "C.UTF-8", SETTINGS_VARIABLE: path})

    async def is_ready(self):
        address, port = self.ready.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(address, int(port))
            writer.write(b"GET /api" b"/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return " 200 " in answer.first
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def await_ready(self, limit_s=10.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the forwarder did not become ready")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """The case could not be set up."""


class Answer:
    """What a consumer has seen of one request."""

    def __init__(self, request_id):
        self.id = request_id
        self.status = 0
        self.fields = {}
        self.body = b""
        self.complete = False
        self.sent_at = 0.0
        self.ended_at = 0.0

    def stamped(self):
        return STAMP.lower() in self.fields


async def ask(front, method, path, request_id, deadline_ms=6000, body=b"", fields=(), key=API_KEY, rate=None,
              on_part=None, receive_buffer=None):
    """Sends one request on a new channel and reads its answer, at `rate` bytes a second if that is given."""
    answer = Answer(request_id)
    address, port = front.rsplit(":", 1)
    lines = [("Host", HOST), (REQUEST_ID, request_id), (DEADLINE, deadline_ms), *fields]
    if key:
        lines.append(("Authorization", "Bearer " + key))
    if method != "GET":
        lines.append(("Content-Length", len(body)))
    text = "%s %s HTTP/1.1\r\n%s\r\n" % (method, path, "".join("%s: %s\r\n" % line for line in lines))
    try:
        connection = socket.socket()
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (address, int(port)))
        limit = 16384 if rate else 2 ** 16
        reader, writer = await asyncio.open_connection(sock=connection, limit=limit)
        writer.write(text.encode() + body)
        answer.sent_at = time.monotonic()
        await writer.drain()
        got = await asyncio.wait_for(read_head(reader), deadline_ms / 1000.0 + 2.0)
        answer.status = int(got.first.split(" ")[1])
        answer.fields = got.fields
        if got.field("transfer-encoding") == "chunked":
            answer.body, answer.complete = await read_chunks(reader, on_part)
        else:
            length = int(got.field("content-length", "0"))
            parts = []
            received = 0
            began = time.monotonic()
            while received < length:
                part = await reader.read(min(8192, length - received))
                if not part:
                    break
                parts.append(part)
                received += len(part)
                if rate:
                    ahead = received / rate - (time.monotonic() - began)
                    if ahead > 0:
                        await asyncio.sleep(ahead)
            answer.body = b"".join(parts)
            answer.complete = len(answer.body) == length
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    answer.ended_at = time.monotonic()
    return answer


def main(folder, play):
    """Runs `play(record, folder, forwarders)`, which returns True if the rule held; ends all processes."""
    async def play_and_end(*arguments):
        try:
            return await play(*arguments)
        finally:
            # Threads that read the output of a process end with it, and the event loop waits for them.
            for process in processes:
                process.end()

    record = Record(folder)
    workplace = tempfile.mkdtemp(prefix="review-case-")
    processes = []
    code = 2
    try:
        if not os.path.exists(FORWARDER):
            raise CannotRun("the program is not built: " + FORWARDER)
        held = asyncio.run(play_and_end(record, workplace, processes))
        code = 0 if held else 1
        record.write("the rule %s" % ("held" if held else "was broken"))
    except CannotRun as reason:
        record.write("the case could not run: %s" % reason)
    finally:
        for process in processes:
            process.end()
        if os.environ.get("KEEP"):
            record.write("kept " + workplace)
        else:
            shutil.rmtree(workplace, ignore_errors=True)
    sys.exit(code)
