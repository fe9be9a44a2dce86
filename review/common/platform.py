"""Stand-ins of the platform: its store, its operator, its engines, and the start of forwarders."""

import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from . import names
from .http import Server, get, response

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The command of deploy/system.toml.
COMMAND = "target/platform/parsleyshift-forwarder"
HEARTBEAT_S = 1.2
JSON = ("Content-Type", "application/json")


class Record:
    """Lines of a run, with seconds since its start; written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write("%7.2f %s\n" % (self.now(), text))
            self.file.flush()


class Store:
    """The platform's store: linearizable reads, one revision counter, watches, and eras."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 1
        self.era = 1
        self.down = False
        self.oldest = 0
        self.server = Server(self.serve)
        self.address = self.server.address

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "created": created, "lease": 0}
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()
            return self.revision

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "removed": True})
            self.changed.notify_all()

    def copy(self):
        with self.changed:
            return dict(self.items), self.revision

    def restore(self, copy):
        """Comes back from a copy: revisions go back, and the era rises by one."""
        with self.changed:
            self.items, self.revision = dict(copy[0]), copy[1]
            self.history = []
            self.oldest = self.revision
            self.era += 1
            self.changed.notify_all()

    def answer(self, status, body):
        return response(status, [JSON, (names.STORE_ERA, str(self.era))], json.dumps(body).encode())

    def serve(self, connection, request):
        if self.down:
            connection.sendall(response(503))
            return True
        if request.path == names.RANGE_PATH:
            prefix = request.query.get("path_prefix", "")
            after = request.query.get("after", "").replace("%2F", "/")
            with self.changed:
                found = [self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after]
                body = {"items": found[:500], "has_more": len(found) > 500, "at": self.revision}
                reply = self.answer(200, body)
            connection.sendall(reply)
            return True
        if request.path == names.WATCH_PATH:
            connection.sendall(self.watch(request))
            return True
        connection.sendall(response(404))
        return True

    def watch(self, request):
        after = int(request.query["after"])
        until = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000.0
        with self.changed:
            era = self.era
            while True:
                if self.down:
                    return response(503)
                if after > self.revision or after < self.oldest or era != self.era:
                    return self.answer(410, {})
                events = [event for event in self.history if event["revision"] > after]
                left = until - time.monotonic()
                if events or left <= 0:
                    return self.answer(200, {"events": events, "at": self.revision})
                self.changed.wait(left)


class Operator:
    """Writes configurations; the store's response is the confirmation."""

    def __init__(self, store, record):
        self.store = store
        self.record = record

    def write(self, configuration):
        self.store.put(names.CONFIG_KEY, json.dumps(configuration).encode())
        self.record.write("operator: version %d is confirmed" % configuration["version"])


def route(name, prefix, kind, service, timeout_ms, objective_ms, attempts=1, priority=1):
    made = {"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            names.OBJECTIVE: objective_ms, "priority": priority, "service": service, "max_attempts": attempts,
            names.ANONYMOUS: False, "session_affinity": kind == "streaming", "stream_resume": False}
    if kind == "streaming":
        made["target_gap_ms"] = 180
    return made


def plain_service(name):
    return {"name": name, "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}


def engine_service(name, slots=24):
    service = plain_service(name)
    service["max_connections"] = 252
    service["engine"] = {"slots": slots, names.KV_CAPACITY: 34338, "kv_bytes": 163840, "link_mbps": 24000.0,
                         "moves": False, "backups": False, "stride": 4, "models": [{"name": "m"}]}
    return service


def configuration(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": name, names.API_KEYS: keys, "priority": 1} for name, keys in tenants]}


class Engine:
    """A sound engine. run(engine, connection, request) answers what it runs; the default echoes the request's id."""

    def __init__(self, store, record, engine_id, service, zone, run=None, slots=24):
        self.store = store
        self.record = record
        self.id = engine_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.run = run or Engine.answer_briefly
        self.active = 0
        self.lock = threading.Lock()
        self.runs = []
        self.born = int(time.time() * 1000)
        self.alive = True
        self.server = Server(self.serve)
        self.address = self.server.address
        self.sequence = 0
        self.register()
        threading.Thread(target=self.beat, daemon=True).start()

    def register(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence,
                 "born": self.born}
        self.store.put(names.ENGINE_KEY_PREFIX + self.id, json.dumps(entry).encode())

    def beat(self):
        while self.alive:
            time.sleep(HEARTBEAT_S)
            if not self.store.down:
                self.register()

    def head_fields(self, request):
        return [(names.REQUEST_ID, request.field(names.REQUEST_ID)),
                (names.STAMP, "stamp." + request.field(names.REQUEST_ID))]

    def answer_briefly(self, connection, request):
        time.sleep(0.02)
        connection.sendall(response(200, self.head_fields(request), b"done " * 160))

    def serve(self, connection, request):
        if request.path == names.REPORT_PATH:
            report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                      "sequence": 2, "queued": 0, "active": self.active, "kv_used": 0, "kv_total": 34338,
                      "handles": 0, "state": "ready", "born": self.born}
            connection.sendall(response(200, [JSON], json.dumps(report).encode()))
            return True
        if request.path == "/health":
            connection.sendall(response(200, [(names.ENGINE_ID, self.id)]))
            return True
        expected = request.field(names.EXPECTED_ENGINE)
        if expected and expected != self.id:
            connection.sendall(response(421, [(names.ENGINE_ID, self.id)]))
            return True
        with self.lock:
            self.active += 1
            self.runs.append((self.record.now(), request.field(names.REQUEST_ID), request.field(names.TENANT)))
        try:
            return self.run(self, connection, request)
        finally:
            with self.lock:
                self.active -= 1


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def begin_stream(engine, connection, request):
    fields = engine.head_fields(request) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
    head = "HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % field for field in fields) + "\r\n"
    connection.sendall(head.encode())


def stream(engine, connection, request, events=40, pause_s=0.15):
    """A sound engine's stream."""
    begin_stream(engine, connection, request)
    for number in range(1, events + 1):
        connection.sendall(chunk(b"id: %d\ndata: line %d of the plan\n\n" % (number, number)))
        time.sleep(pause_s)
    connection.sendall(b"0\r\n\r\n")
    return True


taken_ports = set()


def free_ports(count):
    """Ports below the range from which outgoing channels take theirs, so that nothing takes them before a start."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randint(15000, 31000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            ports.append(port)
    return ports


class Forwarder:
    """One machine's process, with settings like those that the deploy file's template gives a small deployment."""

    def __init__(self, name, zone, region, record, folder):
        self.name = name
        self.zone = zone
        self.region = region
        self.record = record
        self.folder = folder
        self.addresses = ["127.0.0.1:%d" % port for port in free_ports(5)]
        self.front, self.ready_address, self.entry, self.control, self.metrics = self.addresses
        self.process = None
        self.starts = 0

    def configure(self, store, seeds, zones):
        settings = {
            "instance": self.name, "availability_zone": self.zone, "region": self.region,
            "zones": [{"zone": zone, "region": region} for zone, region in zones],
            "caller_address": self.front, "readiness_address": self.ready_address, "entry_address": self.entry,
            "peer_address": self.control, "metrics_address": self.metrics, "store_address": store.address,
            "seeds": seeds, "key_removal_bound_ms": 5000, "longest_entry_keep_ms": 5000, "stop_grace_ms": 8000,
            "max_descriptors": 4100, "link_mbps": 1000.0, "log_level": "info"}
        self.settings = os.path.join(self.folder, self.name + ".json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    def start(self):
        self.starts += 1
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment[names.SETTINGS_VARIABLE] = self.settings
        log = open(os.path.join(self.folder, "%s.%d.log" % (self.name, self.starts)), "wb")
        self.process = subprocess.Popen([os.path.join(REPOSITORY, COMMAND)], cwd=REPOSITORY, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.record.write("platform: %s starts, process %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.record.write("platform: %s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def ready(self):
        return get(self.ready_address, names.READY_PATH).status == 200

    def wait_ready(self, seconds=15.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if not self.running():
                self.record.write("platform: %s has ended, code %s: %s"
                                  % (self.name, self.process.returncode, self.last_log_line()))
                time.sleep(0.5)
                self.start()
            if self.ready():
                return True
            time.sleep(0.1)
        self.record.write("platform: %s is not ready; %s" % (self.name, self.last_log_line()))
        return False

    def last_log_line(self):
        with open(os.path.join(self.folder, "%s.%d.log" % (self.name, self.starts)), errors="replace") as log:
            return (log.read().strip().splitlines() or ["no output"])[-1]

    def resident_mb(self):
        """Memory of the process in MB, as the platform measures it."""
        try:
            with open("/proc/%d/status" % self.process.pid) as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0

    def kill(self):
        if self.running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Fleet:
    """A store, an operator and some forwarders in one temporary folder; ends all processes on exit."""

    def __init__(self, record, places):
        # A stop of the script, as by the time limit in run.sh, ends the processes as well.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.record = record
        self.store = Store(record)
        self.operator = Operator(self.store, record)
        zones = sorted({(zone, region) for zone, region in places})
        self.forwarders = [Forwarder("frontend-%d" % (index + 1), zone, region, record, self.folder.name)
                           for index, (zone, region) in enumerate(places)]
        seeds = [each.control for each in self.forwarders][:3]
        for each in self.forwarders:
            each.configure(self.store, seeds, zones)

    def start(self):
        for each in self.forwarders:
            each.start()
        return all(each.wait_ready() for each in self.forwarders)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for each in self.forwarders:
            each.kill()
        self.folder.cleanup()
