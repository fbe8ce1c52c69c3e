"""A machine freezes while a client's submission has reached it. The client
leaves, cancels at another machine, and is told that there is no such
submission. The machine wakes."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-3"))
import world as w  # noqa: E402

FREEZE_S = 4.0
CANCEL_S = 3.0


async def play(record):
    world = w.World(record)
    try:
        await world.begin()
        world.configure(1, [w.route("checks", "pool")], [{"name": "pool", "admissionCheck": True}])
        for i in range(1, 5):
            await world.add_machine("m%d" % i, "pool", 16000, rack="r%d" % i)
        for name in ("n1", "n2", "n3", "n4", "n5"):
            await world.start_node(name)
        await world.until_ready("/checks/")
        await asyncio.sleep(3)
        owners = set(world.owner_of().values())
        front, other = [n for name, n in world.nodes.items() if name not in owners][:2]
        step = {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 500, "longRunning": True}
        name = world.submission("lasting", [step])
        if w.TROUBLE:
            front.signal(signal.SIGSTOP)
            record("node", front.name, "freezes")
        frozen = w.now()
        sent = world.submissions[name]
        answer = await world.ask(front, "POST", "/checks/" + name, sent, timeout=0.5)
        record("the client has", answer and answer[0], "and leaves")
        cancelled = None
        while cancelled is None and w.now() < frozen + FREEZE_S - 1:
            answer = await world.ask(other, "DELETE", "/checks/" + name)
            if answer and (answer[0] // 100 == 2 or answer[0] == 410):
                cancelled = w.now()
        if cancelled is None:
            raise w.CannotRun("the cancelling was not acknowledged")
        await asyncio.sleep(frozen + FREEZE_S - w.now())
        if w.TROUBLE:
            front.signal(signal.SIGCONT)
            record("node", front.name, "wakes")
        await asyncio.sleep(8)
        await world.ask(other, "GET", "/checks/" + name)
        broken = False
        for at, task, run, *_ in world.starts:
            if task.startswith(name) and at > cancelled + CANCEL_S:
                broken = True
                record("BROKEN UNASKED: run %d of %s begun %.2f s after the cancelling was acknowledged"
                       % (run, task, at - cancelled))
        for machine in world.machines.values():
            for task in machine.worker.runs:
                record("still runs:", task)
        return broken
    finally:
        await world.end()


w.main(HERE, play)
