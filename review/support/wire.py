# SPDX-License-Identifier: BSD-2-Clause
"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins of the review."""
import asyncio
import socket


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers (names in lower case), or nothing at the end of input."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_chunk(reader):
    """Returns the next chunk; empty after the last one. Raises if the input ends before."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def head_text(status, headers):
    lines = ["HTTP/1.1 %d Status" % status] + ["%s: %s" % item for item in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_text(status, headers, body=b""):
    return head_text(status, list(headers) + [("Content-Length", str(len(body)))]) + body


def chunk_text(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def free_port(address):
    """A port that is free now at this loopback address."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]
