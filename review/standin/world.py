"""Stand-ins for the platform, the workers and the clients of a small
deployment, on loopback addresses and the real clock.

They follow PROTOCOL.md and DEPLOY.md; where these are silent they behave like
a sound server, client or platform. Only the standard library is used.
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
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6,
    "configMs": 2000, "holdMaxMs": 10000, "stopMs": 400, "gangMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
    "checkpointS": 0.5, "restoreMs": 600, "moveS": 1.5, "upkeepS": 2,
    "leaseMs": 3000, "paceMs": 100,
}
METRICS_PORT = 9464  # deploy/node.ini.in
PLATFORM = {
    "parts": 8, "appendMs": 4.0, "recordBytes": 262144,
    "callBytes": 2097152, "readMbPerS": 80.0,
}


class Recorder:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.out = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return round((time.monotonic() - self.began) * 1000)

    def write(self, what, **fields):
        self.out.write(json.dumps({"ms": self.now(), "what": what, **fields}) + "\n")


# --- HTTP ---------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {k: v[-1] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


class Drop(Exception):
    """The connection is closed without an answer."""


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    return lines[0], headers


async def serve(ip, port, handler):
    """Serves HTTP/1.1; `handler` returns (status, bytes)."""

    async def connection(reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await handler(Request(method, target, headers, body))
                kind = "application/json" if answer[:1] in (b"{", b"[") else "application/octet-stream"
                writer.write(
                    (f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                     f"Content-Length: {len(answer)}\r\n\r\n").encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Drop, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, ip, port, limit=4 * 1024 * 1024)


async def http(ip, port, method, target, host, body=b"", headers=None, timeout=3.0):
    """One request on a connection of its own; (status, bytes) or (0, reason)."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            extra = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
            writer.write(
                (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{extra}"
                 f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
            await writer.drain()
            first, answered = await read_head(reader)
            text = await reader.readexactly(int(answered.get("content-length", "0")))
            return int(first.split(" ")[1]), text
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__.encode()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def is_free(ip, port):
    with socket.socket() as s:
        try:
            s.bind((ip, port))
            return True
        except OSError:
            return False


# --- the platform's store -----------------------------------------------------


class Partition:
    def __init__(self):
        self.records = []
        self.writers = {}
        self.busy_until = 0.0
        self.changed = asyncio.Event()


class Store:
    def __init__(self, recorder):
        self.parts = {}
        self.recorder = recorder
        self.append_seconds = PLATFORM["appendMs"] / 1000
        # A way in which the store fails, and the share of calls that it fails.
        self.fault = None
        self.share = 1.0
        self.random = random.Random(7)

    def part(self, topic, number="0"):
        return self.parts.setdefault((topic, str(number)), Partition())

    def put(self, topic, key, value):
        part = self.part(topic)
        part.records.append((key, value if isinstance(value, bytes) else json.dumps(value).encode()))
        self.wake(part)

    def newest(self, topic, key):
        for k, v in reversed(self.part(topic).records):
            if k == key:
                return v
        return None

    @staticmethod
    def wake(part):
        part.changed.set()
        part.changed = asyncio.Event()

    async def handle(self, request):
        fault = self.fault if self.random.random() < self.share else None
        if fault == "busy":
            return 503, b"{}"
        if fault == "silent":
            await asyncio.sleep(30)
            raise Drop()
        if fault == "lost" and request.path == "/log-append":
            await self.append(request)
            raise Drop()
        if request.path == "/log-append":
            return await self.append(request)
        if request.path == "/log-read":
            return await self.read(request)
        if request.path == "/log-newest":
            await asyncio.sleep(self.append_seconds)
            return self.read_newest(request)
        return 404, b"{}"

    async def append(self, request):
        q = request.query
        topic = q["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        part = self.part(topic, q["part"])
        # A partition takes one append after the other.
        now = time.monotonic()
        part.busy_until = max(now, part.busy_until) + self.append_seconds
        if part.busy_until - now > 2:
            return 503, b"{}"
        await asyncio.sleep(part.busy_until - now)
        producer = q.get("producer")
        records = self.split(request.body, topic.startswith("keyed."))
        if records is None:
            return 400, b'{"reason":"size"}'
        writer = None
        if producer:
            epoch, sequence = int(q["epoch"]), int(q["sequence"])
            writer = part.writers.setdefault(producer, {"epoch": 0, "next": None, "answers": []})
            if epoch < writer["epoch"]:
                return 409, b'{"reason":"fenced"}'
            if epoch > writer["epoch"]:
                writer.update(epoch=epoch, next=None, answers=[])
            for number, answer in writer["answers"]:
                if number == sequence:
                    return 200, answer
            if writer["next"] is not None and sequence != writer["next"]:
                return 409, json.dumps({"reason": "seq", "sequence": writer["next"]}).encode()
        if "at" in q and int(q["at"]) != len(part.records):
            return 412, json.dumps({"endOffset": len(part.records)}).encode()
        offset = len(part.records)
        part.records.extend(records)
        answer = json.dumps({"offset": offset, "endOffset": len(part.records)}).encode()
        if writer is not None:
            writer["next"] = sequence + 1
            writer["answers"] = (writer["answers"] + [(sequence, answer)])[-5:]
        self.wake(part)
        return 200, answer

    @staticmethod
    def split(body, keyed):
        if len(body) > PLATFORM["callBytes"]:
            return None
        out, at = [], 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            if size > PLATFORM["recordBytes"]:
                return None
            content = body[at + 4:at + 4 + size]
            at += 4 + size
            if keyed:
                length = content[0]
                out.append((content[1:1 + length].decode("latin-1"), content[1 + length:]))
            else:
                out.append(("", content))
        return out

    async def read(self, request):
        q = request.query
        part = self.part(q["topic"], q["part"])
        start = int(q["from"])
        until = time.monotonic() + int(q.get("waitMs", "0")) / 1000
        while start >= len(part.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(part.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        await asyncio.sleep(self.append_seconds)
        out = [struct.pack(">QQ", len(part.records), 0)]
        total = 0
        for key, value in part.records[start:]:
            content = bytes([len(key)]) + key.encode("latin-1") + value
            out.append(struct.pack(">I", len(content)) + content)
            total += len(content)
            if total > 1024 * 1024:
                break
        return 200, b"".join(out)

    def read_newest(self, request):
        q = request.query
        part = self.part(q["topic"], q["part"])
        newest = {}
        for offset, (key, value) in enumerate(part.records):
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        keys = sorted(k for k in newest if k > q.get("after", ""))
        page = keys[:500]
        items = [{"key": k, "value": base64.b64encode(newest[k][0]).decode(), "offset": newest[k][1]} for k in page]
        return 200, json.dumps(
            {"items": items, "hasMore": len(keys) > len(page), "endOffset": len(part.records)}).encode()


# --- workers ------------------------------------------------------------------


class Run:
    def __init__(self, worker, task, number, step, checkpoint, now):
        self.worker, self.task, self.number, self.step = worker, task, number, step
        self.began = now
        self.works_since = None if step.get("gang") else now
        self.checkpoint = checkpoint
        self.stop_at = None
        self.row = None

    def key(self):
        """What the members of one run of a gang share."""
        return self.task.rsplit(".", 1)[0], self.number


class Worker:
    """One worker: runs subtasks under leases and fence numbers."""

    def __init__(self, world, identity, machine, pool, rack, cpu, memory):
        self.world, self.id, self.machine, self.pool = world, identity, machine, pool
        self.rack, self.cpu, self.memory = rack, cpu, memory
        self.labels = ["a"]
        self.ip = "127.0.0.1"
        self.port = free_port(self.ip)
        self.start = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.end_number = 0
        self.sequence = 0
        self.ended = asyncio.Event()
        self.server = None
        self.up = True
        self.cut = False
        self.fails = False
        self.last_lapse = -1
        self.late_share = 0.0

    def clock(self):
        return int((time.monotonic() - self.start) * 1000)

    def entry(self):
        self.sequence += 1
        return {
            "service": self.pool, "address": f"{self.ip}:{self.port}", "zone": "z-a", "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0},
            "labels": self.labels + [self.rack], "clockMs": self.clock(), "born": self.born,
            "sequence": self.sequence}

    async def begin(self):
        self.server = await serve(self.ip, self.port, self.handle)

    def used(self):
        return (sum(r.step.get("cpu", 0) for r in self.runs.values()),
                sum(r.step.get("memMb", 0) for r in self.runs.values()))

    def end(self, run, how):
        self.runs.pop((run.task, run.number))
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_number += 1
        saved = run.checkpoint if run.step.get("checkpointing") else ""
        self.ends.append([self.end_number, run.task, run.number, how, saved])
        run.row.update(end=self.world.rec.now(), how=how, listed=self.end_number)
        self.world.rec.write("run ended", worker=self.id, task=run.task, run=run.number, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def tick(self):
        """Ends what has come to its end by itself."""
        now = time.monotonic()
        if self.clock() >= self.until:
            self.last_lapse = self.world.rec.now()
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            if (run.task, run.number) not in self.runs:
                continue
            if run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
            elif (self.fails or run.step.get("hopeless")) and now - run.began >= 0.05:
                # A gang fails as one: with it fail its other members here.
                for other in list(self.runs.values()):
                    if other is run or (run.step.get("gang") and other.key() == run.key()):
                        self.end(other, "failed")
            elif run.works_since is not None and not run.step.get("gang") and not run.step.get("longRunning"):
                if now - run.works_since >= run.step["estimateMs"] / 1000:
                    self.end(run, "done")

    def answer(self, status, **body):
        return status, json.dumps({"clockMs": self.clock(), "born": self.born, **body}).encode()

    async def handle(self, request):
        if not self.up:
            raise Drop()
        if self.world.worker_delay:
            await asyncio.sleep(self.world.random.uniform(0, self.world.worker_delay))
            if not self.up:
                raise Drop()
        if self.cut:
            await asyncio.sleep(30)
            raise Drop()
        late = self.late_share and self.world.random.random() < self.late_share
        if late and request.path in ("/run-start", "/run-stop"):
            # No answer; carried out 2 to 12 s later.
            await asyncio.sleep(self.world.random.uniform(2, 12))
            if self.up:
                self.carry_out(request)
            raise Drop()
        if request.path == "/hold":
            return await self.carry_out_hold(request)
        return self.carry_out(request)

    def admit(self, request):
        """What every call is checked for; None if it may go on."""
        if request.headers.get("dandeliontack-target-instance") != self.id:
            return self.answer(421)
        self.tick()
        body = request.json()
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        return None

    async def carry_out_hold(self, request):
        return self.admit(request) or await self.hold(request.json())

    def carry_out(self, request):
        refused = self.admit(request)
        if refused:
            return refused
        if request.path == "/run-start":
            return self.run_start(request.json())
        if request.path == "/run-stop":
            return self.run_stop(request.json())
        if request.path == "/pace":
            return self.answer(200)
        return 404, b"{}"

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + BOUNDS["holdMaxMs"]))

    def run_start(self, body):
        task, number, until = body["task"], body["runId"], body["untilMs"]
        if until <= self.clock():
            return self.answer(409, reason="late")
        self.extend(until)
        if (task, number) in self.runs:
            return self.answer(200)
        if number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        step = self.world.step_of(task)
        if step is None:
            self.world.rec.write("unasked start", worker=self.id, task=task, run=number)
            return self.answer(400)
        if self.world.advice and not self.world.advice.is_valid(body.get("ticket"), task, self):
            return self.answer(409, reason="ticket")
        cpu, memory = self.used()
        if cpu + step.get("cpu", 0) > self.cpu or memory + step.get("memMb", 0) > self.memory:
            return self.answer(409, reason="room")
        run = Run(self, task, number, step, body.get("checkpoint", ""), time.monotonic())
        run.row = {"worker": self.id, "pool": self.pool, "task": task, "run": number,
                   "begin": self.world.rec.now(), "end": None, "how": None, "noted": None, "fence": self.fence, "born": self.born}
        self.world.history.append(run.row)
        self.runs[(task, number)] = run
        self.world.rec.write("run began", worker=self.id, pool=self.pool, task=task, run=number, fence=self.fence)
        return self.answer(200)

    def run_stop(self, body):
        task, number = body["task"], body["runId"]
        run = self.runs.get((task, number))
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + BOUNDS["stopMs"] / 4000
        elif run is None:
            self.highest[task] = max(self.highest.get(task, 0), number)
        return self.answer(200)

    async def hold(self, body):
        cursor = body.get("ackCursor", 0)
        for row in self.world.history:
            if row["worker"] == self.id and row["end"] and row["noted"] is None \
                    and row.get("born") == self.born and row.get("listed", 1 << 60) <= cursor:
                # Not taken note of where the lease lapsed in between.
                row["noted"] = -1 if row["end"] <= self.last_lapse else self.world.rec.now()
        self.ends = [e for e in self.ends if e[0] > cursor]
        if "untilMs" in body:
            self.extend(body["untilMs"])
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.ended.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = []
        for run in self.runs.values():
            percent = 0
            if run.works_since is not None:
                worked = (time.monotonic() - run.works_since) * 1000
                percent = 100 if run.step.get("longRunning") else int(
                    min(99, 100 * worked / run.step["estimateMs"]))
            running.append([run.task, run.number, run.checkpoint, percent, 0])
        return self.answer(200, running=running, finished=self.ends[:500])

    def crash(self):
        """Everything that runs ends, and nothing of it is ever said."""
        self.up = False
        self.server.close()
        for run in self.runs.values():
            run.row.update(end=self.world.rec.now(), how="crashed")
        self.runs.clear()

    async def reborn(self):
        """Starts again under the same id; it knows nothing of before."""
        self.start = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = self.until = self.end_number = self.sequence = 0
        self.highest, self.ends = {}, []
        self.up = True
        await self.begin()


# --- the advice service -------------------------------------------------------


class Advice:
    """Says which workers may run a step: two of three of them. Handles one call
    at a time for each calling machine, in turn, and answers 429 where 32 calls
    wait. It forgets a call whose caller has closed the channel by the time that
    its turn comes."""

    def __init__(self, world, decide_ms, each_ms, valid_ms):
        self.world = world
        self.terms = {"decideMs": decide_ms, "eachMs": each_ms, "validMs": valid_ms}
        self.ip = "127.0.0.1"
        self.port = free_port(self.ip)
        self.address = f"{self.ip}:{self.port}"
        self.waiting = 0
        self.turn = asyncio.Lock()
        self.tickets = {}
        self.counts = {"answered": 0, "refused": 0, "too late": 0}

    async def begin(self):
        await asyncio.start_server(self.connection, self.ip, self.port)

    def is_valid(self, ticket, task, worker):
        known = self.tickets.get(ticket)
        return known is not None and known[0] == task.rsplit(".", 1)[0] and known[1] == worker.id \
            and known[2] == worker.born and time.monotonic() < known[3]

    @staticmethod
    def allows(step, identity):
        return (hash_of(step) + int(identity.split("-")[1], 16)) % 3 != 0

    async def connection(self, reader, writer):
        try:
            while True:
                _, headers = await read_head(reader)
                body = json.loads(await reader.readexactly(int(headers["content-length"])))
                status, answer = await self.advise(body, reader)
                if status == 0:
                    break
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(answer)}\r\n\r\n").encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def advise(self, body, reader):
        if self.waiting >= 32:
            self.counts["refused"] += 1
            return 429, b"{}"
        came = time.monotonic()
        self.waiting += 1
        try:
            async with self.turn:
                if reader.at_eof():
                    self.counts["too late"] += 1
                    return 0, b""
                await asyncio.sleep((self.terms["decideMs"] + self.terms["eachMs"] * len(body["workers"])) / 1000)
        finally:
            self.waiting -= 1
        late = reader.at_eof()
        self.counts["too late" if late else "answered"] += 1
        self.world.rec.write("advice", step=body["step"], workers=len(body["workers"]), waiting=self.waiting,
                             took_ms=round((time.monotonic() - came) * 1000), caller_gone=late)
        granted = []
        until = time.monotonic() + self.terms["validMs"] / 1000
        for worker in self.world.workers:
            if worker.id in body["workers"] and self.allows(body["step"], worker.id):
                ticket = f"{len(self.tickets):08x}"
                self.tickets[ticket] = (body["step"], worker.id, worker.born, until)
                granted.append([worker.id, ticket])
        return 200, json.dumps({"granted": granted, "validMs": self.terms["validMs"]}).encode()


def hash_of(text):
    return sum(ord(c) * (i + 7) for i, c in enumerate(text))


# --- the whole world ----------------------------------------------------------


class World:
    def __init__(self, record_path, seed=1):
        self.rec = Recorder(record_path)
        self.random = random.Random(seed)
        self.store = Store(self.rec)
        self.workers = []
        self.nodes = {}
        self.submissions = {}
        self.history = []
        self.worker_delay = 0.0
        self.folder = tempfile.mkdtemp(prefix="review-")
        # A network of loopback addresses whose metrics port is free.
        self.net = next(
            n for n in random.sample(range(16, 240), 200)
            if all(is_free(f"127.0.{n}.{host}", METRICS_PORT) for host in range(2, 8)))
        self.platform_ip = "127.0.0.1"
        self.platform_port = free_port(self.platform_ip)
        self.version = 0
        self.advice = None
        self.tasks = []

    # Settings as DEPLOY.md says that the platform fills them in.
    def settings(self, name, ip):
        fields = {
            "nodeName": name, "zone": "z-a", "region": "r", "ip": ip,
            "listenAddrs": {"front": f"{ip}:{free_port(ip)}", "ready": f"{ip}:{free_port(ip)}"},
            "internalPorts": [free_port(ip)],
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0},
            "bounds": BOUNDS,
            "platform": {"address": f"{self.platform_ip}:{self.platform_port}", **PLATFORM},
            "cloudApi": {"address": f"{self.platform_ip}:{self.platform_port}", "ratePerS": 64.0, "dutyPerS": 64.0},
        }

        def value(path):
            at = fields
            for part in path.split("."):
                at = at[int(part)] if isinstance(at, list) else at.get(part) if isinstance(at, dict) else None
                if at is None:
                    return ""
            return str(at)

        with open(os.path.join(ROOT, "deploy", "node.ini.in")) as f:
            text = f.read()
        # The only section of the template is that of the advice service.
        text = re.sub(
            r"\{\{#advice\}\}(.*?)\{\{/advice\}\}",
            lambda m: m.group(1).replace("{{.}}", self.advice.address) if self.advice else "", text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: value(m.group(1)), text), fields

    def add_worker(self, pool, cpu, memory=65536, rack="r1-1", machine=None):
        number = len(self.workers)
        worker = Worker(self, f"i-{number:04x}", machine or f"m-{number:04x}", pool, rack, cpu, memory)
        self.workers.append(worker)
        return worker

    async def start_platform(self):
        async def handle(request):
            if request.path == "/machines":
                listed = [
                    {"machine": w.machine, "pool": w.pool, "state": "up" if w.up else "down", "zone": "z-a",
                     "labels": w.labels + [w.rack], "capacity": {"cpu": w.cpu, "memMb": w.memory, "gpu": 0},
                     **({"id": w.id} if w.up else {})} for w in self.workers]
                return 200, json.dumps({"machines": listed, "nextToken": None}).encode()
            if request.path in ("/machine-move", "/machine-upkeep"):
                self.rec.write("machine order", path=request.path, body=request.json())
                return 409, b'{"reason":"busy"}'
            return await self.store.handle(request)

        await serve(self.platform_ip, self.platform_port, handle)
        for worker in self.workers:
            await worker.begin()
        if self.advice:
            await self.advice.begin()
        self.tasks.append(asyncio.ensure_future(self.beat()))
        self.tasks.append(asyncio.ensure_future(self.advance()))

    async def beat(self):
        while True:
            for worker in self.workers:
                if worker.up:
                    self.store.put("keyed.servers", worker.id, worker.entry())
            await asyncio.sleep(1.5)

    async def advance(self):
        """Ends runs, and lets gangs begin and end together."""
        while True:
            now = time.monotonic()
            gangs = {}
            for worker in self.workers:
                worker.tick()
                for run in worker.runs.values():
                    if run.step.get("gang"):
                        gangs.setdefault(run.key(), []).append(run)
            for members in gangs.values():
                self.advance_gang(members, now)
            await asyncio.sleep(0.005)

    def advance_gang(self, members, now):
        step = members[0].step
        if members[0].works_since is None:
            if len(members) == step["count"]:
                for run in members:
                    run.works_since = now
            elif now - min(r.began for r in members) >= BOUNDS["gangMs"] / 1000:
                for run in members:
                    run.worker.end(run, "alone")
        elif len(members) < step["count"]:
            for run in members:
                run.worker.end(run, "broken")
        elif now - members[0].works_since >= step["estimateMs"] / 1000:
            for run in members:
                run.worker.end(run, "done")

    def step_of(self, task):
        name, _, step, _ = task.split(".")
        phases = self.submissions.get(name, {}).get("phases", [])
        return phases[int(step)] if int(step) < len(phases) else None

    def configure(self, routes, pools):
        """`routes` maps a path prefix to a pool. The store's answer is the ack."""
        self.version += 3
        advised = {"advice": self.advice.terms} if self.advice else {}
        config = {
            "version": self.version,
            "routes": [
                {"name": f"r-{prefix.strip('/')}", "host": "jobs.example", "pathPrefix": prefix, "type": "unsafe",
                 "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0, "service": pool, "maxAttempts": 3,
                 "stretch": 1.6, **advised} for prefix, pool in routes.items()],
            "services": [
                {"name": pool, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": False,
                 "admissionCheck": True, "standby": False} for pool in pools],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}
        self.store.put("keyed.op", "config", config)
        self.rec.write("configuration acknowledged", version=self.version, routes=routes)

    # --- nodes

    def run_command(self):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
            return re.search(r'^run = "(.*)"', f.read(), re.M).group(1).split()

    def start_node(self, name):
        known = self.nodes.get(name)
        if known is None:
            ip = f"127.0.{self.net}.{len(self.nodes) + 2}"
            text, fields = self.settings(name, ip)
            path = os.path.join(self.folder, name + ".ini")
            with open(path, "w") as f:
                f.write(text)
            known = self.nodes[name] = {"ip": ip, "fields": fields, "path": path, "starts": 0}
        known["starts"] += 1
        log = open(os.path.join(self.folder, f"{name}.{known['starts']}.log"), "wb")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["DANDELIONTACK_NODE_FILE"] = known["path"]
        known["process"] = subprocess.Popen(
            self.run_command(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT)
        known["log"] = log.name
        self.rec.write("node started", node=name, pid=known["process"].pid)

    async def wait_ready(self, names, seconds=15):
        until = time.monotonic() + seconds
        waiting = set(names)
        while waiting and time.monotonic() < until:
            for name in list(waiting):
                ip, port = self.nodes[name]["fields"]["listenAddrs"]["ready"].split(":")
                status, _ = await http(ip, int(port), "GET", "/ready", ip, timeout=1)
                if status == 200:
                    waiting.discard(name)
            await asyncio.sleep(0.1)
        return not waiting

    async def metric(self, name, metric):
        status, text = await http(self.nodes[name]["ip"], METRICS_PORT, "GET", "/metrics", "x", timeout=1)
        if status != 200:
            return None
        found = re.search(rf"^{re.escape(metric)} (\S+)", text.decode(), re.M)
        return float(found.group(1)) if found else None

    async def owner_of_pools(self):
        """The node that owns a shard of pools, by its own metrics."""
        for name, node in self.nodes.items():
            if node["process"].poll() is None and (await self.metric(name, "tack_shards_owned") or 0) > 0:
                return name
        return None

    def signal(self, name, number):
        self.rec.write("signal", node=name, signal=signal.Signals(number).name)
        self.nodes[name]["process"].send_signal(number)

    # --- clients

    async def call(self, node, method, target, body=None, timeout=3.0):
        ip, port = self.nodes[node]["fields"]["listenAddrs"]["front"].split(":")
        data = json.dumps(body).encode() if body is not None else b""
        sent = self.rec.now()
        status, text = await http(
            ip, int(port), method, target, "jobs.example", data,
            {"Dandeliontack-Request-Deadline": int(timeout * 1000)}, timeout)
        self.rec.write("call", node=node, method=method, target=target, sent=sent, status=status,
                       answer=text[:200].decode("utf-8", "replace"))
        return status, text

    def live_nodes(self):
        return [n for n, node in self.nodes.items() if node["process"].poll() is None]

    async def submit(self, prefix, identity, phases, attempts=8, **fields):
        """Hands a submission in, and again at other nodes until it is accepted."""
        body = {"spec": "review", "phases": phases, **fields}
        self.submissions[identity] = {"phases": phases, "prefix": prefix, "accepted": None}
        for _ in range(attempts):
            live = self.live_nodes()
            if not live:
                await asyncio.sleep(0.5)
                continue
            status, _ = await self.call(self.random.choice(live), "POST", prefix + identity, body)
            if 200 <= status < 300:
                self.submissions[identity]["accepted"] = self.rec.now()
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, identity, prefix=None, node=None):
        prefix = prefix or self.submissions[identity]["prefix"]
        status, text = await self.call(
            node or self.random.choice(self.live_nodes()), "GET", prefix + identity)
        if status == 200:
            return json.loads(text)["state"]
        return status

    async def state_within(self, identity, seconds=5):
        """Asks at any node until there is an answer."""
        until = time.monotonic() + seconds
        answer = None
        while time.monotonic() < until:
            answer = await self.state(identity)
            if isinstance(answer, str) or answer == 410:
                return answer
            await asyncio.sleep(0.3)
        return answer

    # --- checks

    def order(self):
        """Starts before all subtasks of the steps in `after` have ended `done`."""
        broken = []
        done = {}
        for row in self.history:
            if row["how"] == "done":
                done[row["task"]] = min(row["end"], done.get(row["task"], 1 << 60))
        for row in self.history:
            name, k, step, _ = row["task"].split(".")
            phases = self.submissions[name]["phases"]
            for earlier in phases[int(step)].get("after", []):
                ends = [done.get(f"{name}.{k}.{earlier}.{j}", 1 << 60) for j in range(phases[earlier]["count"])]
                if max(ends) > row["begin"]:
                    broken.append(row)
        return broken

    def waiting_step(self, identity):
        """A step of which a subtask's turn has come, while nothing of the
        submission runs and under half of the capacity is in use."""
        phases = self.submissions[identity]["phases"]
        rows = [r for r in self.history if r["task"].startswith(identity)]
        if any(r["end"] is None for r in rows):
            return None
        if 2 * sum(w.used()[0] for w in self.workers) >= sum(w.cpu for w in self.workers):
            return None
        done = {r["task"] for r in rows if r["how"] == "done"}
        ended = [
            all(f"{identity}.0.{i}.{j}" in done for j in range(step["count"]))
            for i, step in enumerate(phases)]
        for i, step in enumerate(phases):
            if not ended[i] and all(ended[j] for j in step.get("after", [])):
                return i
        return None

    async def lost(self, identity):
        """LOST: the step that waits like this for 3 s on end; or None."""
        step = None
        for _ in range(30):
            step = self.waiting_step(identity)
            if step is None:
                return None
            await asyncio.sleep(0.1)
        return step

    def twice(self):
        """Runs of one subtask that break TWICE: two at the same time, or a
        start after a run that ended `done` and whose end was taken note of."""
        broken = []
        tasks = {}
        for row in self.history:
            tasks.setdefault(row["task"], []).append(row)
        for task, rows in tasks.items():
            for a in rows:
                for b in rows:
                    if a is b or b["begin"] < a["begin"]:
                        continue
                    overlap = a["end"] is None or a["end"] > b["begin"]
                    again = a["how"] == "done" and a["noted"] is not None and a["noted"] >= 0
                    if overlap or again:
                        broken.append((task, a, b))
        return broken

    def close(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes.values():
            if node["process"].poll() is None:
                node["process"].kill()
            node["process"].wait()


async def guarded(world, body):
    """Runs a case; whatever happens, all processes that it started end."""
    try:
        return await asyncio.wait_for(body, 112)
    except Exception as error:  # the case could not run
        world.rec.write("could not run", reason=repr(error))
        print("could not run:", repr(error))
        return 2
    finally:
        world.close()


def main(case):
    """Runs `case(world, trouble)` and exits with what it returns."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    program = os.path.join(ROOT, "target", "src", "tack-node", "tack-node")
    if not os.path.exists(program):
        print("could not run: the program is not built:", program)
        sys.exit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(os.path.join(folder, "record.txt"))

        def give_up(*_):
            world.close()
            os._exit(2)

        signal.signal(signal.SIGTERM, give_up)
        signal.signal(signal.SIGINT, give_up)
        if os.environ.get("REVIEW_KEEP"):
            print("logs:", world.folder)
        code = await guarded(world, case(world, trouble))
        world.rec.write("exit", code=code, trouble=trouble)
        if not os.environ.get("REVIEW_KEEP"):
            for name in os.listdir(world.folder):
                os.unlink(os.path.join(world.folder, name))
            os.rmdir(world.folder)
        return code

    sys.exit(asyncio.run(run()))
