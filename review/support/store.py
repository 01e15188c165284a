# SPDX-License-Identifier: BSD-2-Clause
"""Stand-in for the platform's metadata store: keyed topics with one partition.

Source: "What postpaddle speaks", The platform's metadata store.
"""
import asyncio
import base64
import json
import random
import struct
from urllib.parse import parse_qs, urlsplit

from . import wire


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def append(self, key, value):
        self.records.append((key, value))
        if value:
            self.newest[key] = len(self.records) - 1
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


def encode_record(key, value):
    body = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(body)) + body


def decode_records(data):
    records = []
    while data:
        (length,) = struct.unpack(">I", data[:4])
        body, data = data[4:4 + length], data[4 + length:]
        records.append((body[1:1 + body[0]].decode(), body[1 + body[0]:]))
    return records


class Store:
    def __init__(self, answer_s=(0, 0)):
        self.topics, self.servers, self.answer_s = {}, [], answer_s

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        self.topic(topic).append(key, json.dumps(value).encode() if value is not None else b"")

    async def start(self, address):
        server = await asyncio.start_server(self.serve, address, 0)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def close(self):
        for server in self.servers:
            server.close()

    async def serve(self, reader, writer):
        try:
            while (request := await wire.read_request(reader)) is not None:
                text = await self.answer(request)
                await asyncio.sleep(random.uniform(*self.answer_s))
                writer.write(text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def answer(self, request):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = self.topic(query.get("topic", ""))
        if parts.path == "/api/log-append":
            return self.append(topic, query, request.body)
        if parts.path == "/api/log-read":
            return await self.read(topic, query)
        if parts.path == "/api/log-newest":
            items = [{"key": key, "value": base64.b64encode(topic.records[offset][1]).decode(),
                      "offset": offset} for key, offset in sorted(topic.newest.items())]
            return self.json({"items": items, "more": False, "end": len(topic.records)})
        return wire.answer_text(404, [])

    @staticmethod
    def json(value, status=200):
        return wire.answer_text(status, [("Content-Type", "application/json")], json.dumps(value).encode())

    def append(self, topic, query, body):
        if "at" in query and int(query["at"]) != len(topic.records):
            return self.json({"end": len(topic.records)}, 412)
        offset = len(topic.records)
        for key, value in decode_records(body):
            topic.append(key, value)
        return self.json({"offset": offset, "end": len(topic.records)})

    async def read(self, topic, query):
        source = int(query.get("source", "0"))
        if source >= len(topic.records) and int(query.get("waitMs", "0")) > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), int(query["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        data = b"".join(encode_record(key, value) for key, value in topic.records[source:])
        return wire.answer_text(200, [], struct.pack(">QQ", len(topic.records), 0) + data)
