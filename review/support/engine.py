# SPDX-License-Identifier: BSD-2-Clause
"""Stand-ins for prefill and decode engines.

Source: "What postpaddle speaks", Servers, and Prefill and decode. A request has run once its first token is
made. Memory is counted in blocks of 16 tokens; a run that finds none pauses, as if preempted, and goes on.
"""
import asyncio
import json
import random
import time

from . import wire

BLOCK = 16


def blocks(tokens):
    return -(-int(tokens) // BLOCK) * BLOCK


class Garble:
    """Answers that are followed by one answer too many, which arrives where the next one is due."""

    def __init__(self, share, seed):
        self.share, self.random, self.is_on = share, random.Random(seed), False

    def draw(self):
        return self.is_on and self.random.random() < self.share


class Engine:
    def __init__(self, name, stage, zone, record, slots=16, capacity=20000, step_s=0.01, stride=11,
                 handle_s=0.5, garble=None):
        self.name, self.stage, self.zone, self.record = name, stage, zone, record
        self.slots, self.capacity, self.step_s, self.stride = slots, capacity, step_s, stride
        self.handle_s, self.garble = handle_s, garble
        self.running, self.used, self.handles, self.writers = 0, 0, {}, set()
        self.made, self.random = 0, random.Random(name)

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self, service, sequence):
        return {"service": service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": sequence,
                "stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]}

    def headers(self, request_id):
        return [("X-Attempt-Id", request_id), ("X-Instance-Id", self.name),
                ("X-Server-Load", "%d,0,%d" % (self.running, self.slots))]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        surplus, link = b"", "%s:%d" % writer.get_extra_info("peername")[:2]
        try:
            while (request := await wire.read_request(reader)) is not None:
                if surplus:
                    self.record("%s: the answer too many goes out as %s arrives" %
                                (self.name, request.header("x-attempt-id") or request.target))
                    writer.write(surplus)
                    surplus = b""
                self.record("%s: %s arrives from %s" % (
                    self.name, request.header("x-attempt-id") or request.target, link))
                sent = await self.answer(request, reader, writer)
                if sent and self.garble is not None and self.garble.draw():
                    surplus = sent
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer(self, request, reader, writer):
        """Answers the request. Returns a complete short answer, which may be sent once more."""
        if request.target == "/api/report":
            writer.write(wire.answer_text(200, [], json.dumps(
                {"stage": self.stage, "models": [], "utilization": False, "sequence": 0, "queueDepth": 0,
                 "inFlight": self.running, "kvUsed": self.used, "kvTotal": self.capacity,
                 "kvHandles": len(self.handles)}).encode()))
            return b""
        if request.target.startswith("/api/kv-handle/"):
            self.free(request.target.rsplit("/", 1)[1])
            writer.write(wire.answer_text(200, []))
            return b""
        if request.target == "/api/kv-list":
            writer.write(wire.answer_text(200, [], b'{"epoch": 1, "nextPageToken": 0, "held": []}'))
            return b""
        request_id = request.header("x-attempt-id")
        is_prefill = request.header("x-stage") == "prefill"
        if request.header("x-expect-instance") != self.name or is_prefill != (self.stage == "prefill"):
            return await self.refuse(writer, request_id, 421, "another instance or stage")
        tokens = int(request.header("x-token-usage").split(",")[0])
        if self.running >= self.slots or self.used + blocks(tokens) > self.capacity:
            return await self.refuse(writer, request_id, 503, "full: %d running, %d of %d tokens used" %
                                     (self.running, self.used, self.capacity))
        if is_prefill:
            return await self.prefill(request_id, tokens, writer)
        return await self.decode(request, request_id, tokens, reader, writer)

    async def refuse(self, writer, request_id, status, why):
        self.record("%s: %s refused (%s)" % (self.name, request_id, why))
        text = wire.answer_text(status, self.headers(request_id) + [("X-Not-Executed", "1")])
        writer.write(text)
        await writer.drain()
        return text

    def free(self, handle):
        self.used -= self.handles.pop(handle, 0)

    async def prefill(self, request_id, tokens, writer):
        self.running += 1
        self.used += blocks(tokens)
        await asyncio.sleep(0.01 + tokens / 55000)
        self.running -= 1
        handle = "%012x" % self.random.getrandbits(48)
        self.handles[handle] = blocks(tokens)
        asyncio.get_running_loop().call_later(self.handle_s, self.free, handle)
        text = wire.answer_text(200, self.headers(request_id) + [("Content-Type", "application/json")],
                                json.dumps({"kvHandle": handle, "tokens": tokens, "version": 1}).encode())
        writer.write(text)
        await writer.drain()
        return text

    async def take(self, source):
        """Fetches the memory from the server that read the prompt; a handle is taken only once."""
        address, _, handle = source.partition("/")
        for engine in Engine.all_prefill:
            if engine.address == address and handle in engine.handles:
                engine.free(handle)
                return True
        return False

    async def decode(self, request, request_id, tokens, reader, writer):
        source = request.header("x-cache-source")
        if source and not await self.take(source):
            return await self.refuse(writer, request_id, 503, "the memory is gone")
        self.running += 1
        held = blocks(tokens)
        self.used += held
        gone = asyncio.ensure_future(reader.read(1))
        events = int(request.header("x-events"))
        first = int(request.header("last-event-id", "0"))
        made = 0
        try:
            await asyncio.sleep(0.03 if source else 0.03 + tokens / 27000)
            writer.write(wire.head_text(200, self.headers(request_id) + [
                ("X-Response-Seal", "seal." + request_id), ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked")]))
            self.record("%s: %s runs%s" % (self.name, request_id, " from %d" % first if first else ""),
                        run=(request_id, self.name, time.monotonic()))
            for event in range(first + 1, events + 1):
                await asyncio.sleep(self.step_s)
                need = blocks(tokens + event * self.stride) - held
                while self.used + need > self.capacity and not gone.done():
                    # Preempted: its memory is given up until all of it is free again.
                    self.used -= held
                    need, held = need + held, 0
                    await asyncio.sleep(self.step_s)
                if gone.done():
                    self.record("%s: %s stopped after %d events, its connection has gone" %
                                (self.name, request_id, made))
                    raise ConnectionResetError
                held += need
                self.used += need
                writer.write(wire.chunk_text(b"id: %d\ndata: %s.%d\n\n" %
                                             (event, request_id.encode(), event)))
                await writer.drain()
                made += 1
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record("%s: %s ended well" % (self.name, request_id))
        finally:
            self.running -= 1
            self.used -= held
            if not gone.done():
                gone.cancel()
                try:
                    await gone
                except asyncio.CancelledError:
                    pass
        return b""


Engine.all_prefill = []
