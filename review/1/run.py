# SPDX-License-Identifier: BSD-2-Clause
"""Runs case 1; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run."""
import asyncio
import os
import random
import sys
import tempfile
import time
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

from review.support import host as hosts, wire  # noqa: E402
from review.support.engine import Engine, Garble  # noqa: E402
from review.support.store import Store  # noqa: E402

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", str(random.randrange(1 << 30))))
HOSTS = int(os.environ.get("HOSTS", "8"))
CALLERS = int(os.environ.get("CALLERS", "12"))
GARBLE_SHARE = 0.03   # x of `garble`, how = "extra late", in the site file
GARBLE_FOR_S = 5.0    # for_s there
GARBLE_TIMES = int(os.environ.get("TIMES", "14"))
GAP_S = float(os.environ.get("GAP", "0.4"))
QUIET_S = 1.0
DEADLINE_S = 14.0


class Case:
    def __init__(self):
        self.lines, self.began, self.runs, self.answers = [], time.monotonic(), {}, {}

    def record(self, text, run=None):
        self.lines.append("%8.3f %s" % (time.monotonic() - self.began, text))
        if run is not None:
            self.runs.setdefault(run[0], []).append(run[1:])


async def call(case, address, number, chance):
    """Sends one stream and reads its answer to the end. Returns the status, 0 if there is none."""
    request_id = uuid.UUID(int=chance.getrandbits(128)).hex[:16]
    tokens, events = int(chance.uniform(400, 1600)), int(chance.uniform(10, 40))
    prefix = "%x:200,%x:%d" % (number, chance.getrandbits(32), tokens - 200)
    body = b"x" * 200
    head = ["POST /stream/1 HTTP/1.1", "Host: cluster.example", "X-Attempt-Id: " + request_id, "X-Model: m",
            "X-Token-Usage: %d,%d" % (tokens, events * 11), "X-Prompt-Prefix: " + prefix,
            "X-Events: %d" % events, "X-Deadline-Ms: %d" % (DEADLINE_S * 1000),
            "Content-Length: %d" % len(body), "Connection: close"]
    ip, port = address.rsplit(":", 1)
    outcome = (0, "no answer")
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        case.record("caller: %s sent to %s" % (request_id, address))
        answer = await asyncio.wait_for(wire.read_head(reader), DEADLINE_S + 1)
        if answer is not None:
            status = int(answer[0].split(" ")[1])
            try:
                text = await asyncio.wait_for(wire.read_body(reader, answer[1]), DEADLINE_S + 1)
                expected = b"".join(b"id: %d\ndata: %s.%d\n\n" % (each, request_id.encode(), each)
                                    for each in range(1, events + 1))
                is_whole = status != 200 or text == expected
                outcome = (status, "whole" if is_whole else "other bytes than the run's")
            except asyncio.IncompleteReadError:
                outcome = (status, "broken off")
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass
    case.record("caller: %s got %d, %s" % (request_id, *outcome))
    case.answers[request_id] = outcome
    return outcome[0]


async def arrivals(case, addresses, until):
    """Callers come in groups, at all hosts at once."""
    chance = random.Random(SEED)
    number, calls = 0, []
    while time.monotonic() < until:
        for _ in range(CALLERS):
            number += 1
            calls.append(asyncio.ensure_future(
                call(case, addresses[number % len(addresses)], number, random.Random(SEED * 100000 + number))))
        await asyncio.sleep(chance.uniform(0.8, 1.2) * GAP_S)
    await asyncio.gather(*calls)


async def run(case, folder, processes):
    network = hosts.network()
    store = Store()
    store_address = await store.start(network + ".200")
    engines = []
    for number, stage in enumerate(["prefill", "decode"]):
        garble = Garble(GARBLE_SHARE, SEED + number) if stage == "decode" else None
        engine = Engine("i-%s%d" % (stage[0], number), stage, "hall-1", case.record, garble=garble,
                        capacity=60000 if stage == "prefill" else 12000)
        await engine.start("%s.%d" % (network, 100 + number))
        engines.append(engine)
    Engine.all_prefill = [each for each in engines if each.stage == "prefill"]
    store.put("keyed.op", "config", {
        "version": 1,
        "routes": [{"name": "stream", "host": "cluster.example", "pathPrefix": "/stream/", "kind": "streaming",
                    "timeoutMs": 14000, "targetLatencyMs": 900, "gapTargetMs": 300, "service": "engines",
                    "maxAttempts": 1, "resumable": False, "sticky": True, "priority": 1}],
        "services": [{"name": "engines", "maxConnections": 620, "healthPath": "/health",
                      "engine": {"slots": 16, "kvCapacityTokens": 12000, "kvTtlS": 0.5, "stride": 11,
                                 "switchS": 6.0}}],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}})

    async def beat():
        sequence = 0
        while True:
            sequence += 1
            for engine in engines:
                store.put("keyed.servers", engine.name, engine.entry("engines", sequence))
            await asyncio.sleep(1.2)

    beating = asyncio.ensure_future(beat())
    ports = hosts.ports(network + ".1")
    for number in range(1, HOSTS + 1):
        processes.append(hosts.Host("front-hall-1-%d" % number, network, number, ports, "hall-1",
                                    ["hall-1", "hall-2", "hall-3"], range(1, min(HOSTS, 3) + 1),
                                    store_address, folder, hosts.BOUNDS))
        processes[-1].start()
    for process in processes:
        if not await process.await_ready():
            case.record("%s did not get ready" % process.name)
            return 2
    await asyncio.sleep(3)
    until = time.monotonic() + QUIET_S + GARBLE_TIMES * (GARBLE_FOR_S + QUIET_S)
    calling = asyncio.ensure_future(arrivals(case, [each.front for each in processes], until))
    for _ in range(GARBLE_TIMES):
        await asyncio.sleep(QUIET_S)
        for engine in engines:
            if engine.garble is not None and IS_TROUBLED:
                engine.garble.is_on = True
        case.record("trouble begins" if IS_TROUBLED else "no trouble")
        await asyncio.sleep(GARBLE_FOR_S)
        for engine in engines:
            if engine.garble is not None:
                engine.garble.is_on = False
        case.record("trouble ends")
    await calling
    beating.cancel()
    store.close()
    for engine in engines:
        engine.server.close()
    return judge(case)


def judge(case):
    broken = 0
    for request_id, runs in case.runs.items():
        if len(runs) > 1:
            broken += 1
            case.record("TWICE: %s ran %d times: %s" % (request_id, len(runs), [each[0] for each in runs]))
    for request_id, (status, what) in case.answers.items():
        if status in (408, 421, 429, 503) and request_id in case.runs:
            broken += 1
            case.record("REFUSED: %s got %d, and has run" % (request_id, status))
        if status == 200 and what.startswith("other"):
            broken += 1
            case.record("MIXED: %s got %s" % (request_id, what))
    statuses = {}
    for status, what in case.answers.values():
        statuses[(status, what)] = statuses.get((status, what), 0) + 1
    served = sum(count for (status, what), count in statuses.items() if status == 200 and what == "whole")
    case.record("requests %d, answers %s, broken %d, seed %d" % (len(case.answers), statuses, broken, SEED))
    print(case.lines[-1].strip())
    if served == 0:
        return 2
    return 1 if broken else 0


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
