"""A machine is partitioned from the store. Meanwhile the operator sends a queue
to another service and takes that back. A submission that was accepted in
between arrives once more, at the machine that is cut off."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-3"))
import world as w  # noqa: E402

CUT_S = 5.0


async def play(record):
    world = w.World(record)
    try:
        await world.begin()
        services = [{"name": "pool", "admissionCheck": True}, {"name": "pool2", "admissionCheck": True}]
        world.configure(1, [w.route("checks", "pool")], services)
        for i in range(6):
            pool = "pool" if i < 3 else "pool2"
            await world.add_machine("m%d" % i, pool, 16000, rack="r%d" % i)
        links = {}
        for name in ("n1", "n2", "n3", "n4", "n5"):
            links[name] = await w.Link(world.store.address).listen()
            await world.start_node(name, links[name].address)
        await world.until_ready("/checks/")
        await asyncio.sleep(3)
        owners = set(world.owner_of().values())
        cut, other = [n for name, n in world.nodes.items() if name not in owners][:2]
        if w.TROUBLE:
            links[cut.name].whole.clear()
            record("node", cut.name, "is partitioned from the store")
        began = w.now()
        await asyncio.sleep(0.1)
        world.configure(2, [w.route("checks", "pool2")], services)
        record("operator: configuration 2, the queue goes to pool2")
        await asyncio.sleep(0.3)
        step = {"count": 1, "cpu": 1000, "memMb": 10, "estimateMs": 8000}
        name = world.submission("work 8000", [step])
        answer = await world.hand_in(other, "/checks/", name)
        if not answer or answer[0] != 200:
            raise w.CannotRun("the submission was not accepted")
        await asyncio.sleep(0.6)
        world.configure(3, [w.route("checks", "pool")], services)
        record("operator: configuration 3, the queue goes to pool again")
        # The same request once more, seconds after its 2xx.
        answer = None
        while not (answer and answer[0] == 200) and w.now() < began + CUT_S - 0.5:
            await asyncio.sleep(0.5)
            answer = await world.hand_in(cut, "/checks/", name)
        await asyncio.sleep(max(began + CUT_S - w.now(), 0))
        links[cut.name].whole.set()
        record("node", cut.name, "reaches the store")
        await asyncio.sleep(12)
        await world.ask(other, "GET", "/checks/" + name)
        starts = [s for s in world.starts if s[1].startswith(name)]
        for at, task, run, worker, *_ in starts:
            record("run %d of %s was begun at %.3f on %s of %s" % (run, task, at, worker.id, worker.service))
        if not starts:
            raise w.CannotRun("nothing was started")
        # No worker was stopped or crashed, so one run is all that may be.
        broken = len(starts) > 1
        if broken:
            record("BROKEN TWICE: %d runs of one subtask" % len(starts))
        return broken
    finally:
        await world.end()


w.main(HERE, play)
