#!/usr/bin/env python3
"""An engine of a plain service as a process of its own, so that it can be killed.

It answers with neither a length nor chunks, and ends each answer with its channel, as the pages allow. It sends the
first half of the body at once and the other half after a pause, as an engine does that works on its answer.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import kit  # noqa: E402

PAUSE_S = 0.8


def whole_body(request_id):
    return ("".join("line %03d of the answer to %s\n" % (line, request_id) for line in range(24))).encode()


async def run(engine, request, writer):
    request_id = request.field(kit.REQUEST_ID)
    body = whole_body(request_id)
    print("run %s" % request_id, flush=True)
    writer.write(kit.head(200, engine.stamp(request) + [("Connection", "close")]) + body[:len(body) // 2])
    await writer.drain()
    print("half %s" % request_id, flush=True)
    await asyncio.sleep(PAUSE_S)
    writer.write(body[len(body) // 2:])
    await writer.drain()
    print("done %s" % request_id, flush=True)
    return False


async def serve(engine_id, address, port):
    engine = kit.Engine(engine_id, "yard-desk", "ikeja", run, address, port)
    await engine.listen()
    print("listening", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2], int(sys.argv[3])))
