"""Stand-ins and helpers for review scripts: store, servers, hosts, callers. Standard library only."""
import asyncio, base64, json, os, random, shutil, signal, socket, struct, subprocess, sys, tempfile, time
from urllib.parse import urlsplit, parse_qs

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NET = "127.%d.%d." % (20 + os.getpid() // 200 % 200, 1 + os.getpid() % 200)
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


def free_port(ip):
    while True:
        port = random.randint(10000, 30000)
        s = socket.socket()
        try:
            s.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            s.close()


class Message:
    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        for n, v in self.headers:
            if n.lower() == name.lower():
                return v
        return default

    def all(self, name):
        return [v for n, v in self.headers if n.lower() == name.lower()]


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        n, _, v = line.partition(":")
        headers.append((n, v.strip()))
    return Message(lines[0], headers)


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, message, is_response=False):
    if "chunked" in message.get("Transfer-Encoding").lower():
        parts = []
        while True:
            part = await read_chunk(reader)
            if not part:
                return b"".join(parts)
            parts.append(part)
    length = message.get("Content-Length")
    if length:
        return await reader.readexactly(int(length))
    if is_response and message.first.split()[1] not in ("204", "304"):
        return await reader.read()
    return b""


async def read_request(reader):
    message = await read_head(reader)
    message.method, message.target, _ = message.first.split(" ", 2)
    message.body = await read_body(reader, message)
    return message


def response(status, headers, body=b"", reason="X"):
    text = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for n, v in headers:
        text += "%s: %s\r\n" % (n, v)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


class Store:
    """The platform's store: keyed topics. `mode` may be '', 'busy', 'silent', 'reset'; per caller ip in `modes`."""

    def __init__(self):
        self.topics, self.mode, self.modes, self.delay, self.calls = {}, "", {}, 0, []
        self.changed = asyncio.Condition()
        self.lose = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def records(self, topic, part="0"):
        return self.topics.setdefault((topic, str(part)), [])

    async def put(self, topic, key, value):
        self.records(topic).append((key.encode(), None if value is None else
                                    (value if isinstance(value, bytes) else json.dumps(value).encode())))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                m = await read_request(reader)
                mode = self.modes.get(peer, self.mode)
                if self.delay:
                    await asyncio.sleep(self.delay)
                if mode == "busy":
                    writer.write(response(503, []))
                    continue
                if mode == "reset":
                    writer.transport.abort()
                    return
                if mode == "silent":
                    await reader.read()
                    return
                q = {k: v[0] for k, v in parse_qs(urlsplit(m.target).query).items()}
                path = urlsplit(m.target).path
                recs = self.records(q.get("topic", ""), q.get("part", "0"))
                self.calls.append((now(), peer, path, q.get("topic")))
                if path == "/api/log-append":
                    data, new = m.body, []
                    while data:
                        n = struct.unpack(">I", data[:4])[0]
                        rec, data = data[4:4 + n], data[4 + n:]
                        k = rec[0]
                        new.append((rec[1:1 + k], rec[1 + k:] or None))
                    if "at" in q and int(q["at"]) != len(recs):
                        writer.write(response(412, [], json.dumps({"end": len(recs)}).encode()))
                        continue
                    off = len(recs)
                    recs.extend(new)
                    async with self.changed:
                        self.changed.notify_all()
                    if self.lose and self.lose(peer, q):
                        await reader.read()
                        return
                    writer.write(response(200, [], json.dumps({"offset": off, "end": len(recs)}).encode()))
                elif path == "/api/log-read":
                    src, wait = int(q["source"]), int(q.get("waitMs", 0)) / 1000
                    end = time.monotonic() + wait
                    while src >= len(recs) and time.monotonic() < end and not self.modes.get(peer, self.mode):
                        async with self.changed:
                            try:
                                await asyncio.wait_for(self.changed.wait(), min(0.05, max(0.001, end - time.monotonic())))
                            except asyncio.TimeoutError:
                                pass
                    if self.modes.get(peer, self.mode) == "silent":
                        await reader.read()
                        return
                    out = struct.pack(">QQ", len(recs), 0)
                    for k, v in recs[src:]:
                        body = bytes([len(k)]) + k + (v or b"")
                        out += struct.pack(">I", len(body)) + body
                    writer.write(response(200, [], out))
                elif path == "/api/log-newest":
                    newest = {}
                    for off, (k, v) in enumerate(recs):
                        newest[k] = (v, off)
                    items = [{"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": off}
                             for k, (v, off) in sorted(newest.items()) if v is not None]
                    writer.write(response(200, [("Content-Type", "application/json")], json.dumps(
                        {"items": items, "more": False, "end": len(recs)}).encode()))
                else:
                    writer.write(response(404, []))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Server:
    """One server. `behave(server, message, reader, writer)` answers a request; the default is a sound one."""

    def __init__(self, id, service, stage="", slots=8, work=0.02, events=5, event_s=0.02, zone="east", version="v1",
                 tells_load=True):
        self.id, self.service, self.stage, self.slots, self.work = id, service, stage, slots, work
        self.events, self.event_s, self.zone, self.version = events, event_s, zone, version
        self.tells_load = tells_load
        self.arrivals, self.runs, self.open, self.behave, self.handles = [], [], 0, None, 0
        self.ended, self.writers = [], set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 24)
        self.ip, self.port = self.server.sockets[0].getsockname()[:2]
        self.address = "%s:%d" % (self.ip, self.port)

    def entry(self, state="ready", sequence=1):
        e = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
             "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": sequence}
        if self.stage:
            e["stage"] = self.stage
        return e

    def head(self, m):
        a = m.get("X-Attempt-Id")
        headers = [("X-Attempt-Id", a), ("X-Response-Seal", "seal.%s.%s" % (self.id, a))]
        if self.tells_load:
            headers.append(("X-Server-Load", "%d,0,%d" % (min(self.open, self.slots), self.slots)))
        return headers

    async def crash(self):
        self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                m = await read_request(reader)
                if m.target.startswith("/api/") or m.target == "/health":
                    body = json.dumps({"stage": self.stage, "models": [], "utilization": False, "sequence": 0,
                                       "queueDepth": 0, "inFlight": self.open, "kvUsed": 0, "kvTotal": 1, "held": [],
                                       "kvHandles": 0}).encode()
                    writer.write(response(200, [], body))
                    await writer.drain()
                    continue
                a = m.get("X-Attempt-Id")
                rec = dict(at=now(), id=a, method=m.method, target=m.target, headers=m.headers, body=m.body,
                           prefill=m.get("X-Stage") == "prefill", runs=True, server=self.id)
                self.arrivals.append(rec)
                wrong = m.get("X-Expect-Instance") != self.id or (
                    self.stage and (rec["prefill"] != (self.stage == "prefill")))
                if wrong:
                    rec["runs"] = False
                    writer.write(response(421, [("X-Attempt-Id", a), ("X-Not-Executed", "1")]))
                    continue
                self.open += 1
                try:
                    if self.behave:
                        if await self.behave(self, m, reader, writer, rec) == "close":
                            return
                    else:
                        await self.answer(m, reader, writer, rec)
                    await writer.drain()
                finally:
                    self.open -= 1
                    rec["ended"] = now()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, m, reader, writer, rec):
        if rec["prefill"]:
            await asyncio.sleep(self.work)
            self.handles += 1
            writer.write(response(200, self.head(m), json.dumps(
                {"kvHandle": "h%s%d" % (self.id, self.handles), "tokens": 100, "version": 1}).encode()))
        elif self.stage == "decode":
            await self.stream(m, writer)
        else:
            await asyncio.sleep(self.work)
            writer.write(response(200, self.head(m), ("body of %s at %s" % (rec["id"], self.id)).encode()))

    async def stream(self, m, writer, events=None):
        first = int(m.get("Last-Event-Id") or 0) + 1
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for n, v in self.head(m):
            text += "%s: %s\r\n" % (n, v)
        writer.write((text + "\r\n").encode())
        for i in range(first, (events or self.events) + 1):
            await asyncio.sleep(self.event_s)
            if writer.transport.is_closing():
                raise ConnectionResetError
            part = b"id: %d\ndata: %d of %s\n\n" % (i, i, m.get("X-Attempt-Id").encode())
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def route(path, kind, service, attempts=2, resumable=False, timeout=5000, target=1000, **more):
    return dict(name="route" + path, host="cluster.example", pathPrefix=path, kind=kind, timeoutMs=timeout,
                targetLatencyMs=target, service=service, maxAttempts=attempts, resumable=resumable, gapTargetMs=300,
                priority=1, **more)


def plain_service(name):
    return dict(name=name, maxConnections=110)


def engine_service(name, switch_s=0.0):
    return dict(name=name, maxConnections=620, engine=dict(slots=128, kvCapacityTokens=66897, kvTtlS=0.5, stride=11,
                                                           switchS=switch_s))


class Host:
    def __init__(self, play, number, zone="east"):
        self.play, self.number, self.zone = play, number, zone
        self.ip = NET + str(number)
        self.process = None
        self.name = "host-%d" % number

    def address(self, port):
        return "%s:%d" % (self.ip, port)

    @property
    def callers(self):
        return self.address(self.play.ports[0])

    def settings(self):
        p = self.play
        return ("role: gateway\nname: %s\navailability_zone: %s\nregions: %s\ncallers: %s\nreadiness: %s\n"
                "readiness_path: /api/ready\npeers: %s\nload_port: %d\nmetrics: %s\nseeds: [%s]\nstore: %s\n"
                "first_start: %s\ngrace_s: 8\nmemory_mb: 110\nretries:\n  ratio: 0.2\n  slack: 56\n  window_s: 10\n"
                "order_lease_ms: 3000\nengines_check_tokens: true\nsettings_bound_ms: 2000\nleaving_bound_ms: 2000\n%s" % (
                    self.name, self.zone, json.dumps({"east": "r", "west": "r"}), self.callers,
                    self.address(p.ports[1]), self.address(p.ports[2]), p.ports[3], self.address(p.ports[4]),
                    '"' + NET + "1:%d" % p.ports[2] + '"', p.store.address, "true" if p.first else "false", p.extra))

    def start(self):
        path = os.path.join(self.play.folder, self.name + ".yaml")
        with open(path, "w") as f:
            f.write(self.settings())
        log = open(os.path.join(self.play.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([os.path.join(ROOT, "target/bin/postpaddled"), "--settings=" + path],
                                        stdout=log, stderr=log, cwd=ROOT)

    def signal(self, sig):
        self.process.send_signal(sig)

    async def ready(self):
        try:
            a = await asyncio.wait_for(call(self.address(self.play.ports[1]), "GET", "/api/ready"), 1)
            return a.status == 200
        except Exception:
            return False


class Answer:
    status = 0
    whole = False
    error = ""
    body = b""
    headers = None

    def get(self, name):
        return Message("", self.headers or []).get(name)


async def call(address, method, target, headers=(), body=b"", connection=None, timeout=10, local=None):
    """One request on a new connection, or on `connection` = [reader, writer]."""
    a = Answer()
    a.sent = now()
    ip, port = address.split(":")
    own = connection is None
    try:
        if own:
            connection = await asyncio.open_connection(ip, int(port), limit=1 << 24,
                                                       local_addr=(local, 0) if local else None)
        reader, writer = connection
        text = "%s %s HTTP/1.1\r\nHost: cluster.example\r\n" % (method, target)
        for n, v in headers:
            text += "%s: %s\r\n" % (n, v)
        if body or method == "POST":
            text += "Content-Length: %d\r\n" % len(body)
        writer.write((text + "\r\n").encode("latin-1") + body)
        await writer.drain()

        async def rest():
            m = await read_head(reader)
            a.status, a.headers, a.first = int(m.first.split()[1]), m.headers, m.first
            a.head_at = now()
            a.body = await read_body(reader, m, True)
            a.whole = True
        await asyncio.wait_for(rest(), timeout)
    except asyncio.TimeoutError:
        a.error = "timeout"
    except (OSError, asyncio.IncompleteReadError, ConnectionError) as e:
        a.error = type(e).__name__
        if isinstance(e, asyncio.IncompleteReadError):
            a.body = e.partial
    finally:
        a.took = now() - a.sent
        if own and connection:
            connection[1].close()
    return a


counter = random.randint(0, 1 << 30)


def attempt_id():
    global counter
    counter += 1
    return "%016x" % (counter * 2654435761 % (1 << 64))


class Play:
    def __init__(self, hosts=2, extra=""):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.ports = [free_port(NET + "1") for _ in range(5)]
        self.store, self.first, self.extra = Store(), True, extra
        self.hosts = [Host(self, n + 1) for n in range(hosts)]
        self.servers, self.version = [], 0

    async def publish(self, routes, services, **more):
        self.version += 1
        await self.store.put("keyed.op", "config", dict(version=self.version, routes=routes, services=services, limits=dict(
            maxHeaderBytes=16384, maxBodyBytes=4194304, headerTimeoutMs=5000, idleTimeoutMs=15000), **more))

    async def add(self, server):
        await server.start(NET + "250")
        self.servers.append(server)
        await self.store.put("keyed.servers", server.id, server.entry())
        return server

    async def start(self):
        for h in self.hosts:
            h.start()
        end = time.monotonic() + 15
        for h in self.hosts:
            while not await h.ready():
                if time.monotonic() > end:
                    raise RuntimeError("host %d is not ready" % h.number)
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    def stop(self):
        for h in self.hosts:
            if h.process and h.process.poll() is None:
                h.process.kill()
                h.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def post_headers(id, deadline_ms=4000):
    return [("X-Attempt-Id", id), ("X-Deadline-Ms", str(deadline_ms))]


def write_record(folder, play, answers, lines):
    """What was sent, answered and run, one line each in order of time; then the verdict's lines."""
    rows = []
    for id, a in answers.items():
        rows.append((a.sent, "%9.3f sent     %s %s to %s" % (a.sent, id, a.target, a.host)))
        rows.append((a.sent + a.took, "%9.3f answered %s %s" % (a.sent + a.took, id, a.status or a.error)))
    for s in play.servers:
        for r in s.arrivals:
            what = "prompt" if r["prefill"] else "run" if r["runs"] else "not run"
            rows.append((r["at"], "%9.3f %-8s %s at %s%s" % (r["at"], what, r["id"], s.id, r.get("note", ""))))
    with open(os.path.join(folder, "record.txt"), "w") as f:
        for _, row in sorted(rows, key=lambda r: r[0]):
            f.write(row + "\n")
        for line in lines:
            f.write(line + "\n")
            print(line)


def main(work, folder, limit_s=110):
    """Runs `work(play)` which returns whether the rule held; the exit code says so."""
    import logging
    logging.disable(logging.CRITICAL)

    async def run():
        code = 2
        try:
            code = 0 if await asyncio.wait_for(work(), limit_s) else 1
        except Exception as e:
            print("the case couldn't run: %s: %s" % (type(e).__name__, e))
        # Stand-ins that still wait for something would hold up an orderly end.
        sys.stdout.flush()
        os._exit(code)
    asyncio.run(run())
