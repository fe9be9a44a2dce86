"""The last tenant is taken out of the configuration; its key, and any other, is still accepted."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from common import names
from common.http import Channel
from common.platform import Engine, Fleet, Record, configuration, plain_service, route

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REVOKE_S = 5.0  # revoke_ms
AFTER_S = 12.0
PAUSE_S = 0.25

record = Record(os.path.join(HERE, "record.txt"))


class Client:
    """A connected client, which sends orders with one key over kept channels to each machine in turn."""

    def __init__(self, name, key, forwarders):
        self.name = name
        self.key = key
        self.forwarders = forwarders
        self.channels = {}
        self.sent = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self):
        while not self.stopping.is_set():
            for machine in self.forwarders:
                self.order(machine)
            time.sleep(PAUSE_S)

    def order(self, machine):
        request_id = "%s-%d" % (self.name, len(self.sent))
        try:
            if machine.name not in self.channels or not self.channels[machine.name].open:
                self.channels[machine.name] = Channel(machine.front, 6.0)
        except OSError:
            return
        fields = [("Host", "h.example"), (names.REQUEST_ID, request_id), (names.DEADLINE, "6000"),
                  ("Authorization", "Bearer " + self.key)]
        began = record.now()
        answer = self.channels[machine.name].exchange("POST", "/order/1", fields, b"order")
        self.sent.append((request_id, began, machine.name, answer.status))


def tenants_of(version):
    """The tenant leaves with version 2; without the disruption another tenant stays beside it."""
    remaining = [] if TROUBLE else [("tenant-2", ["key-2"])]
    return remaining if version == 2 else remaining + [("tenant-1", ["key-1"])]


def write(fleet, version):
    fleet.operator.write(configuration(version, [route("order", "/order/", "non_idempotent", "yard-desk", 6000, 400)],
                                       [plain_service("yard-desk")], tenants_of(version)))
    return record.now()


def main():
    with Fleet(record, [("ikeja", "lagos"), ("apapa", "lagos"), ("garki", "abuja")]) as fleet:
        engines = [Engine(fleet.store, record, "i-%d" % index, "yard-desk", "ikeja", slots=6) for index in (1, 2, 3)]
        write(fleet, 1)
        if not fleet.start():
            record.write("the forwarders did not become ready")
            return 2
        clients = [Client("known", "key-1", fleet.forwarders), Client("stranger", "no-such-key", fleet.forwarders)]
        for client in clients:
            client.thread.start()
        time.sleep(3.0)
        confirmed = write(fleet, 2)
        time.sleep(AFTER_S)
        for client in clients:
            client.stopping.set()
        for client in clients:
            client.thread.join(10.0)
        return judge(engines, clients, confirmed)


def judge(engines, clients, confirmed):
    runs = {run[1]: run for engine in engines for run in engine.runs}
    known, stranger = clients
    for client in clients:
        for request_id, began, machine, status in client.sent:
            ran = "ran, tenant '%s'" % runs[request_id][2] if request_id in runs else "did not run"
            record.write("%s sent at %.2f to %s with key %s: status %d, %s"
                         % (request_id, began, machine, client.key, status, ran))
    before = [sent for sent in known.sent if sent[1] < confirmed and sent[0] in runs]
    late = [sent for sent in known.sent if sent[1] > confirmed + REVOKE_S and sent[0] in runs]
    foreign = [sent for sent in stranger.sent if sent[0] in runs]
    if not before:
        record.write("nothing was served before the change")
        return 2
    record.write("CONFIG (strict_revoke) is %s: %d requests ran that were sent later than %.0f s after the confirmation"
                 % ("broken" if late else "kept", len(late), REVOKE_S))
    record.write("ROUTE is %s: %d requests ran with a key that no configuration held"
                 % ("broken" if foreign else "kept", len(foreign)))
    return 1 if late or foreign else 0


if __name__ == "__main__":
    sys.exit(main())
