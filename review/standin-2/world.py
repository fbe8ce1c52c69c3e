"""Stand-ins for a small deployment on loopback: the platform's store and its
list of machines, workers, clients, and the nodes as separate processes.

The store, the list and the workers live in this process; the nodes are started
with the command and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
APPEND_MS = 4
HOLD_MAX_MS = 10_000
STOP_MS = 400
HEARTBEAT_S = 1.5
PARTS = 8
GRACE_S = 6


def now_ms():
    return time.monotonic() * 1000


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, what, **fields):
        at = time.monotonic() - self.start
        text = " ".join(
            f"{k}={json.dumps(v) if isinstance(v, (list, dict)) else v}"
            for k, v in fields.items()
        )
        self.file.write(f"{at:8.3f} {what} {text}\n")
        self.file.flush()


async def read_message(reader):
    """One HTTP/1.1 message: its first line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def response(status, body=b"", kind="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return (
        f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class HttpServer:
    """Serves `handle(method, path, query, headers, body)`, which returns a
    response or None for no answer at all."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.address = None

    async def listen(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(
            self.serve, ip, port, reuse_address=True
        )
        self.address = self.server.sockets[0].getsockname()[:2]

    def text(self):
        return f"{self.address[0]}:{self.address[1]}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                out = await self.handle(
                    method, url.path, query, headers, body, writer
                )
                if out is None:
                    continue
                writer.write(out)
                await writer.drain()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
            OSError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                try:
                    sock.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
                except OSError:
                    pass
            writer.transport.abort()

    def close(self):
        self.reset_all()
        if self.server:
            self.server.close()


class Partition:
    def __init__(self):
        self.records = []  # (key, value)
        self.newest = {}
        self.writers = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def put(self, key, value):
        self.records.append((key, value))
        if value:
            self.newest[key] = (len(self.records) - 1, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's log. Only keyed topics, which are all that nodes use."""

    def __init__(self, record):
        self.record = record
        self.partitions = {}
        self.factor = 1.0  # how many times longer its answers take

    def place(self, topic, part=0):
        return self.partitions.setdefault((topic, int(part)), Partition())

    async def handle(self, method, path, query, headers, body, writer):
        place = self.place(query.get("topic", ""), query.get("part", 0))
        if path == "/log-append":
            async with place.lock:
                await asyncio.sleep(APPEND_MS * self.factor / 1000)
                return self.append(place, query, body)
        await asyncio.sleep(APPEND_MS * self.factor / 1000)
        if path == "/log-read":
            return await self.read(place, query)
        if path == "/log-newest":
            return self.list_newest(place, query)
        return response(404, {})

    def append(self, place, query, body):
        end = len(place.records)
        name = query.get("producer")
        if name:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = place.writers.setdefault(name, [0, 0, []])
            if epoch < state[0]:
                return response(409, {"reason": "fenced"})
            if epoch > state[0]:
                state[:] = [epoch, sequence - 1, []]
            for old, answer in state[2]:
                if old == sequence:
                    return response(200, answer)
            if sequence != state[1] + 1:
                return response(
                    409, {"reason": "seq", "sequence": state[1] + 1}
                )
        if "at" in query and int(query["at"]) != end:
            return response(412, {"endOffset": end})
        at = 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            content = body[at + 4 : at + 4 + size]
            key = content[1 : 1 + content[0]].decode("utf-8", "replace")
            place.put(key, content[1 + content[0] :])
            at += 4 + size
        answer = {"offset": end, "endOffset": len(place.records)}
        if name:
            state[1] = sequence
            state[2] = (state[2] + [(sequence, answer)])[-5:]
        return response(200, answer)

    async def read(self, place, query):
        start = int(query["from"])
        wait = int(query.get("waitMs", 0)) / 1000
        until = time.monotonic() + wait
        while start >= len(place.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    place.changed.wait(), until - time.monotonic()
                )
            except asyncio.TimeoutError:
                break
        out = [struct.pack(">QQ", len(place.records), 0)]
        for key, value in place.records[start:]:
            name = key.encode()
            out.append(struct.pack(">IB", 1 + len(name) + len(value), len(name)))
            out.append(name + value)
        return response(200, b"".join(out), "application/octet-stream")

    def list_newest(self, place, query):
        after = query.get("after", "")
        keys = sorted(k for k in place.newest if k > after)
        items = [
            {
                "key": k,
                "value": base64.b64encode(place.newest[k][1]).decode(),
                "offset": place.newest[k][0],
            }
            for k in keys[:500]
        ]
        return response(
            200,
            {
                "items": items,
                "hasMore": len(keys) > 500,
                "endOffset": len(place.records),
            },
        )

    async def put(self, topic, key, value):
        """A write by the operator or a worker; returns once it is accepted."""
        place = self.place(topic)
        async with place.lock:
            await asyncio.sleep(APPEND_MS * self.factor / 1000)
            place.put(key, value if isinstance(value, bytes) else value.encode())


class Run:
    def __init__(self, task, number, spec, clock):
        self.task = task
        self.number = number
        self.spec = spec
        self.began = clock
        self.saved = ""


class Worker:
    """One machine's worker. `length(task, number)` gives how many ms a run
    takes and how it ends; None for a run that lasts."""

    def __init__(self, world, name, pool, length, cpu=8000, labels=None):
        self.world = world
        self.record = world.record
        self.id = name
        self.pool = pool
        self.length = length
        self.cpu = cpu
        self.labels = labels or ["a", "r1-1"]
        self.rack = self.labels[1]
        self.server = HttpServer(self.handle)
        self.cut = False
        self.up = False
        self.boots = 0
        self.port = 0
        self.ticker = None

    # One boot.

    async def boot(self, labels=None):
        if labels:
            self.labels = labels
        self.boots += 1
        self.born = int(time.time() * 1000)
        self.zero = now_ms()
        self.running = {}
        self.finished = []
        self.ends = 0
        self.ended_run = {}
        self.fence = 0
        self.until = 0
        self.lapsed = True  # no lease yet
        self.lapses = []
        self.sequence = 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        await self.server.listen("127.0.0.1", self.port)
        self.port = self.server.address[1]
        self.up = True
        self.record(
            "worker_up", worker=self.id, born=self.born, labels=self.labels
        )
        self.ticker = [
            asyncio.create_task(self.tick()),
            asyncio.create_task(self.beat()),
        ]

    def crash(self):
        self.record(
            "worker_crash",
            worker=self.id,
            running=sorted(self.running),
        )
        self.up = False
        for task in self.ticker:
            task.cancel()
        for run in list(self.running.values()):
            self.world.ended(self, run, "crash")
        self.running = {}
        self.server.close()

    def clock(self):
        return int(now_ms() - self.zero)

    def entry(self):
        self.sequence += 1
        return json.dumps(
            {
                "service": self.pool,
                "address": self.server.text(),
                "zone": "zone-a",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "capacity": {"cpu": self.cpu, "memMb": 64000, "gpu": 0},
                "labels": self.labels,
                "born": self.born,
                "clockMs": self.clock(),
            }
        )

    async def beat(self):
        while True:
            await self.world.store.put("keyed.servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            lapsed = self.clock() >= self.until
            if lapsed and not self.lapsed:
                self.lapses.append(time.monotonic())
                self.record("lease_lapses", worker=self.id)
            self.lapsed = lapsed
            self.advance()

    def end(self, run, how):
        self.ends += 1
        self.finished.append(
            [self.ends, run.task, run.number, how, run.saved]
        )
        self.ended_run[run.task] = max(
            run.number, self.ended_run.get(run.task, 0)
        )
        del self.running[run.task]
        self.world.ended(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        clock = self.clock()
        for run in list(self.running.values()):
            if clock >= self.until:
                self.end(run, "lapsed")
                continue
            length = self.length(self, run)
            if length and clock - run.began >= length[0]:
                self.end(run, length[1])

    # Calls.

    async def handle(self, method, path, query, headers, body, writer):
        if self.cut:
            return None
        if headers.get("dandeliontack-target-instance") != self.id:
            return response(421, {})
        fields = json.loads(body)
        if path == "/hold":
            return await self.hold(fields, writer)
        out = {
            "/run-start": self.start,
            "/run-stop": self.stop,
            "/pace": lambda f: (200, {}),
        }[path](fields)
        self.record(
            path[1:],
            worker=self.id,
            task=fields.get("task"),
            run=fields.get("runId"),
            fence=fields.get("fencingToken"),
            answer=out[0],
            reason=out[1].get("reason", "-"),
        )
        return self.answer(*out)

    def answer(self, status, fields):
        return response(
            status, {**fields, "clockMs": self.clock(), "born": self.born}
        )

    def is_fenced(self, fields):
        token = fields.get("fencingToken", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def grant(self, until):
        self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))

    def start(self, fields):
        self.advance()
        if self.is_fenced(fields):
            return 409, {"reason": "fence"}
        task, number = fields["task"], fields["runId"]
        if fields["untilMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.grant(fields["untilMs"])
        held = self.running.get(task)
        if held and held.number == number:
            return 200, {}
        if held or number <= self.ended_run.get(task, 0):
            return 409, {"reason": "old"}
        needed = self.world.need(task)
        used = sum(self.world.need(t) for t in self.running)
        if used + needed > self.cpu:
            return 409, {"reason": "room"}
        run = Run(task, number, fields["spec"], self.clock())
        self.running[task] = run
        self.world.started(self, run)
        return 200, {}

    def stop(self, fields):
        self.advance()
        if self.is_fenced(fields):
            return 409, {"reason": "fence"}
        task, number = fields["task"], fields["runId"]
        held = self.running.get(task)
        if held and held.number == number:
            asyncio.get_running_loop().call_later(
                STOP_MS * 0.5 / 1000, self.finish_stop, held
            )
        else:
            self.ended_run[task] = max(number, self.ended_run.get(task, 0))
        return 200, {}

    def finish_stop(self, run):
        if self.running.get(run.task) is run:
            self.end(run, "stopped")

    async def hold(self, fields, writer):
        boot = self.born
        if self.is_fenced(fields):
            return self.answer(409, {"reason": "fence"})
        cursor = fields["ackCursor"]
        for row in self.finished:
            if row[0] <= cursor:
                self.world.noted(self, row)
        self.finished = [row for row in self.finished if row[0] > cursor]
        if "untilMs" in fields:
            self.grant(fields["untilMs"])
        until = time.monotonic() + fields.get("waitMs", 0) / 1000
        while not self.finished and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    self.changed.wait(), until - time.monotonic()
                )
            except asyncio.TimeoutError:
                break
        if self.cut or boot != self.born or not self.up:
            return None
        self.advance()
        clock = self.clock()
        rows = [
            [r.task, r.number, r.saved, self.percent(r, clock), 0]
            for r in self.running.values()
        ]
        return self.answer(200, {"running": rows, "finished": self.finished[:500]})

    def percent(self, run, clock):
        length = self.length(self, run)
        if not length:
            return 100 if clock - run.began > 200 else 50
        return min(99, int(100 * (clock - run.began) / max(length[0], 1)))

    # A cut: nothing gets through, and what runs goes on.

    def cut_off(self):
        self.record("cut", worker=self.id)
        self.cut = True

    def heal(self):
        self.record("heal", worker=self.id)
        self.cut = False
        self.server.reset_all()


class Node:
    """A node's process. It reaches the store by a door of its own, at which the
    store can turn it away (503)."""

    def __init__(self, world, name, ip, door):
        self.world = world
        self.name = name
        self.ip = ip
        self.process = None
        self.door = door
        self.turned_away = False
        door.handle = self.call_store
        ports = free_ports(ip, 3)
        self.front = f"{ip}:{ports[0]}"
        self.fields = {
            "nodeName": name,
            "zone": "zone-a",
            "ip": ip,
            "listenAddrs": {"front": self.front, "ready": f"{ip}:{ports[1]}"},
            "internalPorts": [ports[2], ports[2] + 1],
            "platform": {
                "address": door.text(),
                "parts": PARTS,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "readMbPerS": 80.0,
            },
            "cloudApi": {"address": world.cloud.text(), "dutyPerS": 64.0},
            "bounds": {
                "moveS": 1.5,
                "upkeepS": 2,
                "stopMs": STOP_MS,
                "holdMaxMs": HOLD_MAX_MS,
                "status_s": 120,
                "graceS": GRACE_S,
                "leaseMs": 3000,
                "configMs": 2000,
            },
            "limits": {
                "cpuShare": 0.25,
                "cores": 1,
                "maxFds": 4100,
                "memoryMb": 260,
            },
        }

    async def call_store(self, *call):
        if self.turned_away:
            return response(503, {})
        return await self.world.store.handle(*call)

    def turn_away(self, turned_away):
        self.world.record(
            "store_turns_away" if turned_away else "store_serves_again",
            node=self.name,
        )
        self.turned_away = turned_away

    async def start(self):
        role = next(iter(self.world.deploy["roles"].values()))
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            text = render(f.read(), self.fields)
        path = os.path.join(self.world.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(),
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "DANDELIONTACK_NODE_FILE": path,
            },
        )
        log.close()
        self.world.record("node_started", node=self.name, pid=self.process.pid)

    def send(self, number):
        self.world.record(
            "signal", node=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.returncode is None


def free_ports(ip, count):
    held = []
    for _ in range(count):
        s = socket.socket()
        s.bind((ip, 0))
        held.append(s)
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


def render(text, fields):
    """The platform's template language, as far as the template uses it."""

    def value(name):
        at = fields
        for part in name.split("."):
            if isinstance(at, list):
                at = at[int(part)] if int(part) < len(at) else None
            else:
                at = at.get(part) if isinstance(at, dict) else None
        return at

    text = re.sub(
        r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}",
        lambda m: m[2].replace("{{.}}", str(value(m[1]))) if value(m[1]) else "",
        text,
        flags=re.S,
    )

    def one(match):
        found = value(match[1])
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", one, text)


class World:
    """A deployment; also keeps what the rules ask about runs."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.deploy = tomllib.load(f)
        self.store = Store(self.record)
        self.cloud = HttpServer(self.cloud_call)
        self.cloud_ms = 20  # until the list of machines is answered
        self.workers = []
        self.nodes = []
        self.runs = []  # every run, in the order of the starts
        self.open = {}
        self.needs = {}
        self.submitted = {}

    # Runs.

    def need(self, task):
        return self.needs.get(task.split(".")[0].lower(), {}).get(
            int(task.split(".")[2]), 0
        )

    def started(self, worker, run):
        row = {
            "task": run.task,
            "run": run.number,
            "spec": run.spec,
            "worker": worker.id,
            "labels": list(worker.labels),
            "begin": time.monotonic(),
            "end": None,
            "how": None,
            "noted": None,
        }
        self.runs.append(row)
        self.open[(worker.id, run.task, run.number, worker.born)] = row
        self.record(
            "run_begins", worker=worker.id, task=run.task, run=run.number
        )

    def ended(self, worker, run, how):
        row = self.open[(worker.id, run.task, run.number, worker.born)]
        row["end"] = time.monotonic()
        row["how"] = how
        self.record(
            "run_ends",
            worker=worker.id,
            task=run.task,
            run=run.number,
            how=how,
        )

    def noted(self, worker, end):
        row = self.open[(worker.id, end[1], end[2], worker.born)]
        # Not if the lease lapsed between the two.
        if any(at >= row["end"] for at in worker.lapses):
            return
        if row["noted"] is None:
            row["noted"] = time.monotonic()
            self.record(
                "end_noted",
                worker=worker.id,
                task=end[1],
                run=end[2],
                how=end[3],
            )

    # The list of machines.

    async def cloud_call(self, method, path, query, headers, body, writer):
        if path == "/machines":
            # Shows the machines as they are when the call arrives.
            rows = [self.machine_row(worker) for worker in self.workers]
            await asyncio.sleep(self.cloud_ms / 1000)
            return response(200, {"machines": rows})
        self.record(path[1:], body=json.loads(body), answer=409)
        return response(409, {"reason": "busy"})

    def machine_row(self, worker):
        row = {
            "machine": "m-" + worker.id,
            "pool": worker.pool,
            "state": "up" if worker.up else "down",
            "zone": "zone-a",
            "labels": worker.labels,
            "capacity": {"cpu": worker.cpu, "memMb": 64000, "gpu": 0},
        }
        if worker.up:
            row["id"] = worker.id
        return row

    # The deployment.

    async def begin(self, routes, services, nodes=3):
        await self.cloud.listen()
        await self.configure(1, routes, services)
        for worker in self.workers:
            await worker.boot()
        for i in range(nodes):
            ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{i + 2}"
            door = HttpServer(None)
            await door.listen()
            self.nodes.append(Node(self, f"front-zone-a-{i + 1}", ip, door))
        for node in self.nodes:
            await node.start()

    async def configure(self, version, routes, services):
        config = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        await self.store.put("keyed.op", "config", json.dumps(config))
        self.record("configuration", version=version)

    async def request(self, node, method, path, body=None, timeout=3.0):
        """One call of a client: (status, body), or (None, reason)."""
        payload = json.dumps(body).encode() if body is not None else b""
        ip, port = node.front.split(":")
        writer = None

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(
                (
                    f"{method} {path} HTTP/1.1\r\nHost: pule25.example\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Dandeliontack-Request-Deadline: {int(timeout * 1000)}\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n"
                ).encode()
                + payload
            )
            await writer.drain()
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer

        try:
            out = await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            out = (None, type(e).__name__.encode())
        finally:
            if writer:
                writer.close()
        self.record(
            "client",
            node=node.name,
            call=method,
            path=path,
            status=out[0],
            body=out[1].decode("utf-8", "replace")[:100],
        )
        return out

    async def ask_any(self, method, path, body=None, tries=40):
        """The client's retries, at node after node, until there is an answer
        that is none of 429, 502, 503 and 504."""
        status, answer = None, b""
        for i in range(tries):
            live = [n for n in self.nodes if n.is_running()] or self.nodes
            node = live[i % len(live)]
            status, answer = await self.request(node, method, path, body)
            if status not in (None, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return status, answer

    async def submit(self, path, number, body):
        status, _ = await self.ask_any("POST", path + number, body)
        return status == 200

    def describe(self, number, body):
        """What the workers have to know of a submission's subtasks."""
        self.needs[number.lower()] = {
            i: step.get("cpu", 0) for i, step in enumerate(body["phases"])
        }
        self.submitted[number] = body

    async def state(self, path, number, tries=40):
        status, answer = await self.ask_any("GET", path + number, tries=tries)
        if status == 200:
            return json.loads(answer)["state"]
        return str(status)

    async def ready(self, path, tries=200):
        """Waits until a queue's submissions can be counted at every node."""
        for node in self.nodes:
            for _ in range(tries):
                status, _ = await self.request(node, "GET", path)
                if status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                return False
        return True

    def find_owner(self):
        """The node that leads the only pool, by what the nodes have written to
        the store: the record of the owner names it."""
        for key, (_, value) in self.store.place("keyed.nodes").newest.items():
            if key.startswith("own/") and key != "own/1000000":
                for node in self.nodes:
                    if node.name.encode() in value and node.is_running():
                        return node
        return None

    async def end(self):
        for node in self.nodes:
            if node.is_running():
                node.process.kill()
        for node in self.nodes:
            if node.process:
                await node.process.wait()
        for worker in self.workers:
            if worker.up:
                for task in worker.ticker:
                    task.cancel()
                worker.server.close()
        for node in self.nodes:
            path = os.path.join(self.folder, node.name + ".log")
            if os.environ.get("KEEP_LOGS") and os.path.exists(path):
                os.replace(path, os.path.join(os.environ["KEEP_LOGS"], node.name + ".log"))
        for name in os.listdir(self.folder):
            os.remove(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def run_case(case, folder, limit=115):
    """Runs `case(world, trouble)`, which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        world = World(folder)
        verdict = 2
        # Ends the nodes too if the script is told to end.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            held = await asyncio.wait_for(case(world, trouble), limit)
            verdict = 2 if held is None else 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:
            # The case couldn't run.
            world.record("error", reason=repr(error))
            print("the case couldn't run:", repr(error), file=sys.stderr)
        finally:
            await world.end()
        world.record("verdict", exit=verdict)
        return verdict

    sys.exit(asyncio.run(whole()))


ROUTE = {
    "name": "route-a",
    "host": "pule25.example",
    "pathPrefix": "/puxa400/",
    "type": "unsafe",
    "timeoutMs": 3000,
    "targetLatencyMs": 2500,
    "priority": 0,
    "service": "citations",
    "maxAttempts": 3,
    "stretch": 2.0,
}
SERVICE = {"name": "citations", "admissionCheck": True, "standby": False}
# As many as the service `citations` of the small site has.
WORKERS = [f"i-{letter}1" for letter in "abcdefghi"]
