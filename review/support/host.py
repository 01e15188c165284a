# SPDX-License-Identifier: BSD-2-Clause
"""Gateway hosts as the deploy file runs them, with settings made from its template."""
import asyncio
import json
import os
import random
import re
import shlex
import signal
import subprocess
import tomllib

from . import wire

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def look_up(path, scopes):
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def fill(template, scopes):
    """Expands the template's placeholders as the platform does (DEPLOY.md, Settings of a process)."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand_section(match):
        kind, path, inner = match.groups()
        value = look_up(path, scopes)
        if kind == "^":
            return fill(inner, scopes) if not value else ""
        if isinstance(value, list):
            last = len(value) - 1
            return "".join(fill(inner.replace("{{,}}", "," if index < last else ""),
                                scopes + [{"": entry}]).replace("{{.}}", str(entry))
                           for index, entry in enumerate(value))
        return fill(inner, scopes) if value else ""

    def expand_value(match):
        path, as_json = match.group(1), match.group(2)
        if path == ".":
            return match.group(0)
        value = look_up(path, scopes)
        if value is None:
            return ""
        return json.dumps(value) if as_json or isinstance(value, (dict, list)) else str(value)

    text = section.sub(expand_section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", expand_value, text)


class Host:
    """One machine with the gateway role."""

    def __init__(self, name, network, number, ports, zone, zones, seeds, store, folder, bounds):
        self.name, self.ip, self.folder = name, "%s.%d" % (network, number), folder
        self.front = "%s:%d" % (self.ip, ports["front"])
        self.ready = "%s:%d" % (self.ip, ports["ready"])
        self.settings = {
            "node": name, "role": "gateway", "machineClass": "front", "serves": ["front", "control"],
            "ip": self.ip, "zone": zone, "region": "east", "zones": {each: "east" for each in zones},
            "listen": {key: "%s:%d" % (self.ip, port) for key, port in ports.items() if key != "inner"},
            "internalPorts": [ports["inner"], ports["inner"] + 15],
            "seeds": ["%s.%d:%d" % (network, seed, ports["control"]) for seed in seeds],
            "bootstrap": True, "platform": {"address": store}, "bounds": bounds}
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"])) as file:
            text = fill(file.read(), [self.settings])
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(text)
        program, *arguments = shlex.split(role["run"])
        arguments = [each.replace("/etc/postpaddle/local.json", path) for each in arguments]
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([os.path.join(ROOT, program)] + arguments, cwd=ROOT, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        address, port = self.ready.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(address, int(port))
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(wire.read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, seconds=15):
        for _ in range(int(seconds * 20)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


def network():
    """The first three octets of a loopback network that no other run is likely to use."""
    return "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))


def ports(address):
    chosen = {key: wire.free_port(address) for key in ("front", "ready", "control")}
    chosen["inner"] = random.randint(12000, 28000)
    return chosen


# As the platform's sheet for a small deployment has them.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000,
          "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "recoverS": 12, "transitMs": 120,
          "retryAfterS": 5.6, "requireFencing": True, "leaseMs": 3000, "thawMs": 300}
