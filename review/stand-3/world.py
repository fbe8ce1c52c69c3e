"""Stand-ins for the scripts of this review: the platform's store, its list of
machines, workers, a cut link, and the start of the project's own nodes. They
follow PROTOCOL.md and DEPLOY.md, on loopback addresses and the real clock."""

import asyncio
import base64
import collections
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NODE = os.path.join(ROOT, "target/src/tack-node/tack-node")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGAN = time.monotonic()


def now():
    return time.monotonic() - BEGAN


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        self.file.write("%9.3f  %s\n" % (now(), " ".join(str(w) for w in words)))
        self.file.flush()


class CannotRun(Exception):
    pass


# HTTP


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return lines[0], fields, body


class Server:
    """Serves HTTP/1.1; `handle(method, target, fields, body)` returns a status
    and a body (bytes, or an object that is sent as JSON)."""

    def __init__(self, handle):
        self.handle = handle
        self.open = set()

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                first, fields, body = await read_message(reader)
                method, target, _ = first.split(" ")
                status, answer = await self.handle(method, target, fields, body)
                raw = isinstance(answer, bytes)
                data = answer if raw else json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                    % (status, b"application/octet-stream" if raw else b"application/json", len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


async def call(address, method, target, fields=None, body=None, timeout=3.0):
    """The status and the body, or None where no answer came in time."""

    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = {"Host": address, "Content-Type": "application/json"}
            head.update(fields or {})
            head["Content-Length"] = str(len(data))
            text = "%s %s HTTP/1.1\r\n" % (method, target)
            text += "".join("%s: %s\r\n" % item for item in head.items()) + "\r\n"
            writer.write(text.encode() + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
        return None


# The platform's store


class Partition:
    def __init__(self):
        self.records = []
        self.writers = {}
        self.grown = asyncio.Event()
        self.turn = asyncio.Lock()


class Store:
    append_s = 0.004

    def __init__(self):
        self.partitions = collections.defaultdict(Partition)

    async def listen(self):
        self.server = await Server(self.handle).listen()
        self.address = self.server.address
        return self

    def put(self, topic, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.add(self.partitions[topic, 0], [(key, data)])

    @staticmethod
    def add(part, records):
        part.records.extend(records)
        part.grown.set()
        part.grown = asyncio.Event()

    async def handle(self, method, target, fields, body):
        path, _, query = target.partition("?")
        q = dict(urllib.parse.parse_qsl(query))
        part = self.partitions[q.get("topic"), int(q.get("part", 0))]
        if path == "/log-append":
            async with part.turn:
                await asyncio.sleep(self.append_s)
                return self.append(part, q, body)
        if path == "/log-read":
            return await self.read(part, q)
        if path == "/log-newest":
            return self.newest(part, q)
        return 404, {}

    def append(self, part, q, body):
        records = []
        while body:
            size = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + size], body[4 + size :]
            key = content[0]
            records.append((content[1 : 1 + key].decode("latin-1"), content[1 + key :]))
        writer = None
        if "producer" in q:
            epoch, sequence = int(q["epoch"]), int(q["sequence"])
            writer = part.writers.get(q["producer"])
            if writer and epoch < writer["epoch"]:
                return 409, {"reason": "fenced"}
            if not writer or epoch > writer["epoch"]:
                writer = {"epoch": epoch, "next": sequence, "answers": collections.OrderedDict()}
                part.writers[q["producer"]] = writer
            if sequence in writer["answers"]:
                return 200, writer["answers"][sequence]
            if sequence != writer["next"]:
                return 409, {"reason": "seq", "sequence": writer["next"]}
        if "at" in q and int(q["at"]) != len(part.records):
            return 412, {"endOffset": len(part.records)}
        answer = {"offset": len(part.records), "endOffset": len(part.records) + len(records)}
        self.add(part, records)
        if writer:
            writer["next"] += 1
            writer["answers"][sequence] = answer
            while len(writer["answers"]) > 5:
                writer["answers"].popitem(last=False)
        return 200, answer

    async def read(self, part, q):
        start = int(q["from"])
        wait = int(q.get("waitMs", 0)) / 1000
        if start >= len(part.records) and wait > 0:
            try:
                await asyncio.wait_for(part.grown.wait(), wait)
            except asyncio.TimeoutError:
                pass
        out = len(part.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        most = int(q.get("maxKb", 1024)) * 1024
        for key, value in part.records[start:]:
            name = key.encode("latin-1")
            content = bytes([len(name)]) + name + value
            if len(out) > 16 and len(out) + len(content) > most:
                break
            out += len(content).to_bytes(4, "big") + content
        return 200, out

    def newest(self, part, q):
        newest = {}
        for offset, (key, value) in enumerate(part.records):
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        keys = sorted(k for k in newest if k > q.get("after", ""))
        items = [
            {"key": k, "value": base64.b64encode(newest[k][0]).decode(), "offset": newest[k][1]}
            for k in keys[:500]
        ]
        return 200, {"items": items, "hasMore": len(keys) > 500, "endOffset": len(part.records)}


# Workers


class Worker:
    """One life of a machine. What runs on it is decided by the submission's
    text: `work MS`, or `lasting`."""

    def __init__(self, world, machine, service, cpu, guards, stop_ms, hold_max_ms, name=None):
        self.world, self.machine, self.service = world, machine, service
        self.cpu, self.guards = cpu, guards
        self.stop_ms, self.hold_max_ms = stop_ms, hold_max_ms
        self.id = name or "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.start = time.monotonic()
        self.fence = 0
        self.until = 0
        self.runs = {}
        self.ended = {}
        self.ends = []
        self.number = 0
        self.sequence = 0
        self.draining = False
        self.up = True

    async def listen(self):
        self.server = await Server(self.handle).listen()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]
        return self

    def clock(self):
        return int((time.monotonic() - self.start) * 1000)

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "hue-a",
            "version": "1.0",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
            "labels": ["a", self.machine.rack],
        }

    async def beat(self):
        while self.up:
            self.world.store.put("keyed.servers", self.id, self.entry())
            await asyncio.sleep(1.5)

    def leave(self, crash=False):
        """Ends this life. A crash sends nothing: the entry goes after three
        intervals of silence."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        runs, self.runs = self.runs, {}
        for name, run in runs.items():
            self.world.record("run-over", name, run["run"], "on", self.id, "with its worker")
            self.end_others(run["gang"], name, "broken")
        self.server.close()

        async def remove():
            await asyncio.sleep(4.5 if crash else 0)
            self.world.store.put("keyed.servers", self.id, b"")

        self.world.spawn(remove())

    def used(self):
        return sum(run["cpu"] for run in self.runs.values())

    def end(self, task, how):
        run = self.runs.pop(task)
        self.ended[task] = max(self.ended.get(task, 0), run["run"])
        self.number += 1
        self.ends.append([self.number, task, run["run"], how, ""])
        self.world.record("run-ended", task, run["run"], "on", self.id, how)
        self.end_others(run["gang"], task, "done" if how == "done" else "broken")

    @staticmethod
    def end_others(gang, task, how):
        if not gang:
            return
        gang["members"].pop(task, None)
        others = dict(gang["members"])
        gang["members"].clear()
        for other, worker in others.items():
            if other in worker.runs:
                worker.end(other, how)

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            clock = self.clock()
            for task, run in list(self.runs.items()):
                if task not in self.runs:
                    continue
                gang = run["gang"]
                if clock >= self.until:
                    self.end(task, "lapsed")
                elif run["stops"] is not None:
                    if clock >= run["stops"]:
                        self.end(task, "stopped")
                elif gang and gang["began"] is None:
                    if clock - run["at"] >= 3000:
                        self.end(task, "alone")
                elif run["ms"] is not None:
                    began = gang["began"] if gang else run["wall"]
                    if (time.monotonic() - began) * 1000 >= run["ms"]:
                        self.end(task, "done")

    async def handle(self, method, target, fields, body):
        if fields.get("dandeliontack-target-instance") != self.id:
            return 421, {}
        q = json.loads(body)
        fence = q.get("fencingToken", 0)
        answer = {"clockMs": self.clock(), "born": self.born}
        if fence < self.fence:
            return 409, dict(answer, reason="fence")
        self.fence = fence
        if target == "/run-start":
            status, more = self.run_start(q)
            return status, dict(answer, **more)
        if target == "/run-stop":
            self.run_stop(q)
            return 200, answer
        if target == "/pace":
            return 200, answer
        if target == "/hold":
            return await self.hold(q)
        return 404, {}

    def extend(self, q):
        if "untilMs" in q:
            self.until = max(self.until, min(q["untilMs"], self.clock() + self.hold_max_ms))

    def run_start(self, q):
        task, run = q["task"], q["runId"]
        if q["untilMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(q)
        held = self.runs.get(task)
        if held and held["run"] == run:
            return 200, {}
        if held or run <= self.ended.get(task, 0):
            return 409, {"reason": "old"}
        step = self.world.step_of(task)
        cpu = step["cpu"] if step else 0
        if self.guards and self.used() + cpu > self.cpu:
            return 409, {"reason": "room"}
        words = q.get("spec", "").split()
        gang = self.world.gang_of(task, run)
        self.runs[task] = {
            "run": run,
            "cpu": cpu,
            "ms": int(words[1]) if words[0] == "work" else None,
            "at": self.clock(),
            "wall": time.monotonic(),
            "stops": None,
            "gang": gang,
        }
        if gang:
            gang["members"][task] = self
            if len(gang["members"]) == gang["count"]:
                gang["began"] = time.monotonic()
        step_name = task.rsplit(".", 1)[0] + "."
        mates = sum(1 for other in self.runs if other.startswith(step_name))
        self.world.starts.append((now(), task, run, self, self.used(), mates))
        self.world.record("run-begun", task, run, "on", self.id, "with", self.used(), "of", self.cpu, "cores/1000 in use")
        return 200, {}

    def run_stop(self, q):
        task, run = q["task"], q["runId"]
        held = self.runs.get(task)
        if held and held["run"] == run:
            if held["stops"] is None:
                held["stops"] = self.clock() + self.stop_ms
                self.world.record("run-stopping", task, run, "on", self.id)
        else:
            self.ended[task] = max(self.ended.get(task, 0), run)

    async def hold(self, q):
        self.extend(q)
        self.ends = [end for end in self.ends if end[0] > q.get("ackCursor", 0)]
        limit = time.monotonic() + q.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < limit:
            await asyncio.sleep(0.005)
        running = []
        for task, run in self.runs.items():
            if run["ms"] is None:
                percent = 100
            else:
                percent = min(99, int(100 * (time.monotonic() - run["wall"]) * 1000 / run["ms"]))
            running.append([task, run["run"], "", percent, run["cpu"]])
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "finished": self.ends[:500]}


# The platform's machines


class Machine:
    def __init__(self, name, pool, rack):
        self.name, self.pool, self.rack = name, pool, rack
        self.state = "up"
        self.worker = None
        self.waves = set()


class Cloud:
    """The list of machines and the orders on them. Fences are checked only
    where `fenced` is set."""

    def __init__(self, world, fenced):
        self.world, self.fenced = world, fenced
        self.orders = []
        self.fences = {}

    async def listen(self):
        self.server = await Server(self.handle).listen()
        self.address = self.server.address
        return self

    async def handle(self, method, target, fields, body):
        if target.startswith("/machines"):
            return 200, {"machines": [self.row(m) for m in self.world.machines.values()]}
        if target not in ("/machine-move", "/machine-upkeep"):
            return 404, {}
        q = json.loads(body)
        holder = fields.get("dandeliontack-lease-holder")
        fence = int(fields.get("dandeliontack-fencing-token", 0))
        status, answer = self.order(target, q, fence)
        self.orders.append((now(), q["machine"], holder, fence, status))
        self.world.record("order", target, json.dumps(q), "holder", holder, "fence", fence, "->", status, json.dumps(answer))
        return status, answer

    def order(self, target, q, fence):
        machine = self.world.machines.get(q["machine"])
        if not machine:
            return 400, {}
        if self.fenced and fence < self.fences.get(machine.name, 0):
            return 409, {"reason": "fence"}
        self.fences[machine.name] = max(fence, self.fences.get(machine.name, 0))
        if target == "/machine-upkeep":
            if q["wave"] in machine.waves:
                return 200, {}
            if machine.name not in self.world.waves.get(q["wave"], []):
                return 409, {"reason": "wave"}
        elif machine.pool == q["pool"]:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        old = machine.worker
        if old:
            old.leave()
        machine.worker = None
        if target == "/machine-upkeep":
            machine.waves.add(q["wave"])
            machine.state, pause = "upkeep", 2.0
        else:
            machine.pool = q["pool"]
            machine.state, pause = "moving", 1.5
        self.world.spawn(self.back(machine, old, pause))
        return 200, {}

    async def back(self, machine, old, pause):
        await asyncio.sleep(pause)
        machine.state = "up"
        await self.world.add_worker(machine, old.cpu, old.guards)

    @staticmethod
    def row(m):
        worker = m.worker
        return {
            "machine": m.name,
            "pool": m.pool,
            "state": m.state,
            "zone": "hue-a",
            "labels": ["a", m.rack],
            "capacity": {"cpu": worker.cpu if worker else 16000, "memMb": 65536, "gpu": 0},
            "id": worker.id if worker else "",
        }


# A link that can be cut


class Link:
    """Forwards connections to an address. While it is cut, nothing passes.
    Bytes that were sent on a connection from before the cut reach the other
    side after it, also if their sender has closed the connection meanwhile;
    connections that were opened during the cut are lost."""

    def __init__(self, target, on_bytes=None):
        self.target, self.on_bytes = target, on_bytes
        self.whole = asyncio.Event()
        self.whole.set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        if not self.whole.is_set():
            await self.whole.wait()
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.pump(reader, far_writer, self.on_bytes), self.pump(far_reader, writer, None)
        )

    async def pump(self, reader, writer, on_bytes):
        try:
            while True:
                data = await reader.read(65536)
                if data and on_bytes:
                    on_bytes(data)
                await self.whole.wait()
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, RuntimeError):
            writer.transport.abort()


# The whole


class Node:
    def __init__(self, name):
        self.name = name
        self.process = None

    def signal(self, number):
        self.process.send_signal(number)

    def is_up(self):
        return self.process is not None and self.process.returncode is None


class World:
    def __init__(self, record, fenced=True, bounds=None):
        self.record = record
        self.bounds = {
            "stopMs": 400,
            "holdMaxMs": 10000,
            "status_s": 120,
            "graceS": 6,
            "leaseMs": 3000,
            "configMs": 2000,
            "moveS": 1.5,
            "upkeepS": 2,
        }
        self.bounds.update(bounds or {})
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        self.store = Store()
        self.cloud = Cloud(self, fenced)
        self.advice = None
        self.machines = {}
        self.waves = {}
        self.nodes = {}
        self.submissions = {}
        self.gangs = {}
        self.starts = []
        self.background = set()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def begin(self):
        if not os.access(NODE, os.X_OK):
            raise CannotRun("no program at " + NODE)
        await self.store.listen()
        await self.cloud.listen()

    async def add_worker(self, machine, cpu, guards=True, name=None):
        stop_ms, hold_max_ms = self.bounds["stopMs"], self.bounds["holdMaxMs"]
        worker = Worker(self, machine, machine.pool, cpu, guards, stop_ms, hold_max_ms, name)
        machine.worker = await worker.listen()
        self.record("worker", worker.id, "on", machine.name, "pool", machine.pool, "cpu", cpu)
        return worker

    async def add_machine(self, name, pool, cpu, guards=True, rack="r1", worker=None):
        self.machines[name] = Machine(name, pool, rack)
        return await self.add_worker(self.machines[name], cpu, guards, worker)

    def crash(self, name):
        """The worker of a machine crashes and is lost for good."""
        machine = self.machines[name]
        self.record("worker", machine.worker.id, "on", name, "crashes")
        machine.worker.leave(crash=True)
        machine.worker, machine.state = None, "down"

    def configure(self, version, routes, services):
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    # Submissions

    def submission(self, spec, phases):
        name = "%016x" % random.getrandbits(64)
        self.submissions[name] = {"spec": spec, "phases": phases}
        return name

    def step_of(self, task):
        name, _, step, _ = task.split(".")
        known = self.submissions.get(name)
        return known["phases"][int(step)] if known else None

    def gang_of(self, task, run):
        step = self.step_of(task)
        if not step or not step.get("gang"):
            return None
        key = (task.rsplit(".", 1)[0], run)
        return self.gangs.setdefault(key, {"count": step["count"], "members": {}, "began": None})

    async def ask(self, node, method, target, body=None, timeout=3.0, deadline=3000):
        fields = {"Host": "q.example", "Dandeliontack-Request-Deadline": str(deadline)}
        self.record("client", method, target, "to", node.name)
        answer = await call(node.callers, method, target, fields, body, timeout)
        self.record("client", method, target, "to", node.name, "->", answer if answer is None else (answer[0], answer[1].decode()[:120]))
        return answer

    async def hand_in(self, node, target, name):
        return await self.ask(node, "POST", target + name, self.submissions[name])

    # Nodes

    def settings_of(self, node, store, cloud):
        given = {
            "nodeName": node.name,
            "zone": "hue-a",
            "ip": node.ip,
            "listenAddrs": {"front": node.callers, "ready": node.ready},
            "internalPorts": ["7060", "7075"],
            "platform": {
                "address": store or self.store.address,
                "parts": 8,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "readMbPerS": 80.0,
            },
            "cloudApi": {"address": cloud or self.cloud.address, "dutyPerS": 64.0},
            "advice": self.advice,
            "bounds": self.bounds,
            "limits": {"cpuShare": 0.25, "cores": 1, "maxFds": 4100, "memoryMb": 260},
        }

        def find(path):
            value = given
            for key in path.split("."):
                if isinstance(value, list):
                    value = value[int(key)]
                else:
                    value = value.get(key) if isinstance(value, dict) else None
            return value

        with open(os.path.join(ROOT, "deploy/node.ini.in"), encoding="utf-8") as file:
            text = file.read()
        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

        def fill(match):
            value = find(match.group(1))
            return match.group(2).replace("{{.}}", str(value)) if value else ""

        text = section.sub(fill, text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m.group(1)) or ""), text)

    async def start_node(self, name, store=None, cloud=None):
        node = self.nodes.get(name)
        if not node:
            node = self.nodes[name] = Node(name)
            node.ip = "%s.%d" % (self.net, 10 + len(self.nodes))
            node.callers, node.ready = node.ip + ":8624", node.ip + ":8622"
            node.links = (store, cloud)
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings_of(node, *node.links))
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split(" ")
        log = open(os.path.join(self.folder, name + ".log"), "a", encoding="utf-8")
        node.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "DANDELIONTACK_NODE_FILE": path},
        )
        self.record("node", name, "started, process", node.process.pid)
        return node

    async def until(self, what, condition, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun("not within %.0f s: %s" % (limit, what))

    async def until_ready(self, target):
        async def ready(node):
            answer = await call(node.ready, "GET", "/ready", timeout=1.0)
            return answer is not None and answer[0] == 200

        async def counted(node):
            answer = await self.ask(node, "GET", target)
            return answer is not None and answer[0] == 200

        for node in self.nodes.values():
            await self.until(node.name + " is ready", lambda n=node: ready(n))
            await self.until(node.name + " counts the queue", lambda n=node: counted(n))

    def owner_of(self, shard_key_prefix="own/", among=None):
        """The nodes that the registry's records name as owners, by key."""
        owners = {}
        for key, value in self.store.partitions["keyed.nodes", 0].records:
            if key.startswith(shard_key_prefix):
                owners[key] = next((n for n in self.nodes if n.encode() in value), None)
        return owners

    async def end(self):
        for node in self.nodes.values():
            if node.is_up():
                node.signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        for task in list(self.background):
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, **more):
    out = {
        "name": name,
        "host": "q.example",
        "pathPrefix": "/" + name + "/",
        "type": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 0,
        "service": service,
        "maxAttempts": 4,
        "stretch": 2.0,
    }
    out.update(more)
    return out


def main(folder, play):
    """Runs `play(record)`, which returns whether the rule was broken."""
    record = Record(os.path.join(folder, "record.txt"))
    record("TROUBLE" if TROUBLE else "no trouble")

    async def bounded():
        # Ended from outside, the case still ends its processes.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(play(record), 110)

    try:
        broken = asyncio.run(bounded())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        record("the case could not run:", repr(error))
        print("could not run:", repr(error), file=sys.stderr)
        sys.exit(2)
    record("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
