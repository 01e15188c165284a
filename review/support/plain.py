# SPDX-License-Identifier: BSD-2-Clause
"""Stand-in for a server of a plain service. Source: "What postpaddle speaks", Servers."""
import asyncio
import time

from . import wire


class Plain:
    def __init__(self, name, zone, record, slots=6, work_s=0.03):
        self.name, self.zone, self.record, self.slots, self.work_s = name, zone, record, slots, work_s
        self.running, self.places = 0, asyncio.Semaphore(slots)

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self, service, sequence):
        return {"service": service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": sequence}

    async def serve(self, reader, writer):
        try:
            while (request := await wire.read_request(reader)) is not None:
                request_id = request.header("x-attempt-id")
                load = ("X-Server-Load", "%d,%d,%d" % (min(self.running, self.slots),
                                                       max(0, self.running - self.slots), self.slots))
                head = [("X-Attempt-Id", request_id), ("X-Instance-Id", self.name), load]
                if request.header("x-expect-instance") != self.name:
                    writer.write(wire.answer_text(421, head + [("X-Not-Executed", "1")]))
                    continue
                self.running += 1
                async with self.places:
                    self.record("%s: %s runs, %d bytes" % (self.name, request_id, len(request.body)),
                                run=(request_id, self.name, time.monotonic()))
                    await asyncio.sleep(self.work_s)
                self.running -= 1
                writer.write(wire.answer_text(200, head + [("X-Response-Seal", "seal." + request_id)],
                                              b"answer to " + request_id.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
