#!/usr/bin/env python3
"""A model engine as a process of its own, so that it can be stopped and continued.

Streams have neither a length nor chunks and end with their channel, as the pages allow. A run can be copied to another
engine, and stopped with the last copy; it goes on there after the event that its request names.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import kit  # noqa: E402

EVENTS = 150
STEP_S = 0.05
# Time that the copy of a run takes on the link.
COPY_S = 0.15
SOURCE = "Kv" "-From"
MOVE = "/api" "/kv" "-move"


def event(request_id, number):
    return ("id: %d\ndata: %s piece %d of %d\n\n" % (number, request_id, number, EVENTS)).encode()


def whole_stream(request_id):
    return b"".join(event(request_id, number) for number in range(1, EVENTS + 1))


def say(text):
    print(text, flush=True)


class Run:
    def __init__(self, made):
        self.made = made
        self.stopping = False
        self.stopped = asyncio.Event()


class ModelEngine(kit.Engine):
    """Handles name the request, so that any engine can tell which run a copy belongs to."""

    def __init__(self, engine_id, zone, address, port):
        super().__init__(engine_id, "plan-writers", zone, None, address, port)
        self.runs = {}

    async def answer(self, request, writer):
        path = request.first.split(" ")[1]
        if path == MOVE:
            return await self.move(json.loads(request.body), writer)
        return await super().answer(request, writer)

    async def run(self, _, request, writer):
        request_id = request.field(kit.REQUEST_ID)
        first = 1
        if request.field(SOURCE):
            assert request.field(SOURCE).endswith("/" + request_id), "a copy of another run"
            first = int(request.field("Last-Event-Id", "0")) + 1
        say("run %s from event %d" % (request_id, first))
        run = self.runs[request_id] = Run(first - 1)
        writer.write(kit.head(200, self.stamp(request) + [("Content-Type", "text/event-stream"),
                                                          ("Connection", "close")]))
        for number in range(first, EVENTS + 1):
            writer.write(event(request_id, number))
            await writer.drain()
            run.made = number
            await asyncio.sleep(STEP_S)
            if run.stopping or writer.transport.is_closing():
                break
        del self.runs[request_id]
        say("%s %s after event %d" % ("stopped" if run.made < EVENTS else "done", request_id, run.made))
        # The stream ends with its channel, before the call that stopped the run is answered.
        writer.close()
        run.stopped.set()
        return False

    async def move(self, call, writer):
        run = self.runs.get(call["id"])
        if run is None:
            return await self.reply(writer, 404, {})
        say("%s %s" % ("last" if call.get("last") else "copy", call["id"]))
        if call.get("last"):
            # The run stops first, at the end of its present step.
            run.stopping = True
            await run.stopped.wait()
        else:
            await asyncio.sleep(COPY_S)
        return await self.reply(writer, 200, {"handle": call["id"], "created": run.made})

    @staticmethod
    async def reply(writer, status, body):
        text = json.dumps(body).encode()
        writer.write(kit.head(status, [("Content-Type", "application/json"), ("Content-Length", len(text))]) + text)
        await writer.drain()
        return True


# The class attribute `run` of kit.Engine is a function given to its constructor.
def make(engine_id, zone, address, port):
    engine = ModelEngine(engine_id, zone, address, port)
    engine.run = lambda self, request, writer: ModelEngine.run(engine, self, request, writer)
    return engine


async def serve(engine_id, zone, address, port):
    engine = make(engine_id, zone, address, port)
    await engine.listen()
    say("listening")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2], sys.argv[3], int(sys.argv[4])))
