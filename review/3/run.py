# SPDX-License-Identifier: BSD-2-Clause
"""Runs case 3; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run."""
import asyncio
import os
import random
import sys
import tempfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

from review.support import host as hosts, wire  # noqa: E402
from review.support.plain import Plain  # noqa: E402
from review.support.store import Store  # noqa: E402

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
HOSTS, CALLERS_A_HOST = 3, 10
BEFORE, AFTER = 65536, 1048576   # maxBodyBytes before and after the change
SMALL, LARGE = 2000, 200000      # bytes of a body
CONFIG_S, TOUCH_S = 2.0, 3.0     # configMs, contactMs
CALM_S, LATER_S = 10.0, 20.0


class Case:
    def __init__(self):
        self.lines, self.began, self.runs, self.answers = [], time.monotonic(), {}, []
        self.version, self.size = 1, SMALL

    def record(self, text, run=None):
        self.lines.append("%8.3f %s" % (time.monotonic() - self.began, text))
        if run is not None:
            self.runs.setdefault(run[0], []).append(run[1:])


async def caller(case, address, number, until):
    """Keeps its connection for as long as the host does, and sends a request about every second."""
    chance, sent, reader, writer = random.Random(number), 0, None, None
    ip, port = address.rsplit(":", 1)
    while time.monotonic() < until:
        await asyncio.sleep(chance.uniform(0.7, 1.3))
        sent += 1
        request_id, size = "%04x%012x" % (number, sent), case.size
        is_kept = writer is not None
        try:
            if not is_kept:
                reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(("POST /once/%d HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: %s\r\n"
                          "X-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n" % (number, request_id, size)
                          ).encode() + b"x" * size)
            case.record("caller %d: %s sent, %d bytes, on a %s connection to %s" %
                        (number, request_id, size, "kept" if is_kept else "new", address))
            head = await asyncio.wait_for(wire.read_head(reader), 5)
            status = int(head[0].split(" ")[1]) if head else 0
            if head:
                await wire.read_body(reader, head[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            head, status = None, 0
        case.record("caller %d: %s got %d" % (number, request_id, status))
        case.answers.append((request_id, status, size, is_kept))
        if head is None or head[1].get("connection", "").lower() == "close":
            writer.close()
            reader = writer = None
    if writer is not None:
        writer.close()


def configuration(version, body_bytes):
    return {"version": version,
            "routes": [{"name": "once", "host": "cluster.example", "pathPrefix": "/once/",
                        "kind": "non_idempotent", "timeoutMs": 4000, "targetLatencyMs": 300,
                        "service": "plain", "maxAttempts": 1, "priority": 2}],
            "services": [{"name": "plain", "maxConnections": 110, "healthPath": "/health"}],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": body_bytes, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


async def run(case, folder, processes):
    network = hosts.network()
    store = Store()
    store_address = await store.start(network + ".200")
    servers = [Plain("i-%d" % number, "hall-%d" % number, case.record) for number in range(1, 4)]
    for number, server in enumerate(servers):
        await server.start("%s.%d" % (network, 100 + number))
    # Without the disruption the limit is that of the later version from the beginning.
    store.put("keyed.op", "config", configuration(1, BEFORE if IS_TROUBLED else AFTER))

    async def beat():
        sequence = 0
        while True:
            sequence += 1
            for server in servers:
                store.put("keyed.servers", server.name, server.entry("plain", sequence))
            await asyncio.sleep(1.2)

    beating = asyncio.ensure_future(beat())
    ports = hosts.ports(network + ".1")
    for number in range(1, HOSTS + 1):
        processes.append(hosts.Host("front-hall-%d-1" % number, network, number, ports, "hall-%d" % number,
                                    ["hall-1", "hall-2", "hall-3"], range(1, HOSTS + 1), store_address,
                                    folder, hosts.BOUNDS))
        processes[-1].start()
    for process in processes:
        if not await process.await_ready():
            case.record("%s did not get ready" % process.name)
            return 2
    await asyncio.sleep(2)
    until = time.monotonic() + CALM_S + CONFIG_S + TOUCH_S + LATER_S
    callers = [asyncio.ensure_future(caller(case, process.front, 100 * index + number, until))
               for index, process in enumerate(processes) for number in range(CALLERS_A_HOST)]
    await asyncio.sleep(CALM_S)
    if IS_TROUBLED:
        store.put("keyed.op", "config", configuration(3, AFTER))
        case.record("version 3 is acknowledged: maxBodyBytes %d instead of %d" % (AFTER, BEFORE))
    await asyncio.sleep(CONFIG_S + TOUCH_S)
    case.size = LARGE
    case.record("callers send %d bytes from now on" % LARGE)
    await asyncio.gather(*callers)
    beating.cancel()
    store.close()
    for server in servers:
        server.server.close()
    return judge(case)


def judge(case):
    denied = [each for each in case.answers if 300 <= each[1] < 500 and each[1] not in (408, 421, 429)]
    allowed = 5 + len(case.answers) / 500
    for request_id, status, size, is_kept in denied:
        case.record("refused: %s, %d bytes, got %d on a %s connection" %
                    (request_id, size, status, "kept" if is_kept else "new"))
    statuses = {}
    for _, status, size, is_kept in case.answers:
        key = (status, "large" if size == LARGE else "small", "kept" if is_kept else "new")
        statuses[key] = statuses.get(key, 0) + 1
    is_broken = len(denied) > allowed
    case.record("%s: requests %d, answers %s, refused %d, allowed %.1f" %
                ("DENIED" if is_broken else "held", len(case.answers), statuses, len(denied), allowed))
    print(case.lines[-1].strip())
    if not any(status == 200 for _, status, _, _ in case.answers):
        return 2
    return 1 if is_broken else 0


def main():
    case, processes, status = Case(), [], 2
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            status = asyncio.run(asyncio.wait_for(run(case, folder, processes), 110))
        except (asyncio.TimeoutError, OSError) as error:
            case.record("could not run: %r" % error)
        finally:
            for process in processes:
                process.stop()
            if os.environ.get("KEEP"):
                os.system("cp -r %s %s" % (folder, os.environ["KEEP"]))
    with open(os.environ.get("RECORD", os.path.join(FOLDER, "record.txt")), "w") as file:
        file.write("\n".join(case.lines) + "\n")
    sys.exit(status)


main()
