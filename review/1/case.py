"""Many small subtasks on one worker, and a kill of the node that owns their
pool while they run."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import world as w  # noqa: E402

PREFIX = "/small/"
PHASES = [{"count": 640, "cpu": 100, "memMb": 100, "estimateMs": 1500}]
IDENTITY = f"{0x5ab1e:016x}"


async def case(world, trouble):
    for i in range(4):
        world.add_worker("pool", 64000, 262144, rack=f"r1-{i + 1}")
    await world.start_platform()
    world.configure({PREFIX: "pool"}, ["pool"])
    nodes = ["n1", "n2", "n3"]
    for name in nodes:
        world.start_node(name)
    if not await world.wait_ready(nodes):
        return 2
    await asyncio.sleep(3)
    if not await world.submit(PREFIX, IDENTITY, PHASES):
        return 2
    # Until all of them run.
    for _ in range(250):
        await asyncio.sleep(0.01)
        if len(world.history) >= PHASES[0]["count"]:
            break
    world.rec.write("subtasks run", workers={x.id: len(x.runs) for x in world.workers})
    owner = await world.owner_of_pools()
    if owner is None:
        return 2
    if trouble:
        world.signal(owner, signal.SIGKILL)
        world.nodes[owner]["process"].wait()
        await asyncio.sleep(3.5)
        world.start_node(owner)
    await asyncio.sleep(w.BOUNDS["finish_s"] + 6)
    state = await world.state_within(IDENTITY)
    twice = world.twice()
    for task, a, b in twice:
        world.rec.write("TWICE", task=task, first=a, second=b)
    for task, a, b in twice[:3]:
        print(f"TWICE: {task}: run {a['run']} on {a['worker']} ended {a['how']} at {a['end']} ms, taken note of "
              f"at {a['noted']} ms; run {b['run']} began on {b['worker']} at {b['begin']} ms")
    print(f"{len(twice)} of {PHASES[0]['count']} subtasks run twice; the submission is {state}")
    return 1 if twice else 0


w.main(case)
