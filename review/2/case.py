"""A new version of the configuration sends a queue to another service while
submissions of that queue run."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import world as w  # noqa: E402

PREFIX = "/records/"
PHASES = [
    {"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 1000},
    {"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 9000, "after": [0]},
]
SUBMISSIONS = 6
POOLS = ["old-pool", "new-pool"]


async def case(world, trouble):
    for i in range(6):
        world.add_worker(POOLS[i % 2], 16000, rack=f"r1-{i % 3 + 1}")
    await world.start_platform()
    world.configure({PREFIX: "old-pool"}, POOLS)
    nodes = ["n1", "n2", "n3"]
    for name in nodes:
        world.start_node(name)
    if not await world.wait_ready(nodes):
        return 2
    await asyncio.sleep(3)
    names = [f"{0xb000 + i:016x}" for i in range(SUBMISSIONS)]
    for name in names:
        if not await world.submit(PREFIX, name, PHASES):
            return 2
    await asyncio.sleep(2)
    # Without trouble the same version comes, and the queue stays where it is.
    world.configure({PREFIX: "new-pool" if trouble else "old-pool"}, POOLS)
    # From `configMs` after the ack on the version holds everywhere; all
    # submissions were accepted more than `visible_ms` before.
    await asyncio.sleep((w.BOUNDS["configMs"] + w.BOUNDS["visible_ms"]) / 1000)
    lost = []
    for name in names:
        for node in nodes:
            state = await world.state(name, node=node)
            if state == 410:
                lost.append(name)
                world.rec.write("LOST", submission=name, node=node, answer=410)
                print(f"LOST: {name}, accepted and not cancelled, is answered 410 by {node}")
    await world.call("n1", "DELETE", PREFIX + names[-1])
    # "Occasionally, such a request also arrives seconds after the 2xx
    # response for that ID. It remains one submission."
    for name in names[:2]:
        await world.call("n2", "POST", PREFIX + name, {"spec": "review", "phases": PHASES})
    await asyncio.sleep(25)
    for name in names:
        await world.state_within(name)
    twice = world.twice()
    for task, a, b in twice:
        world.rec.write("TWICE", task=task, first=a, second=b)
        print(f"TWICE: {task}: run {a['run']} on {a['pool']} ({a['how']}), run {b['run']} on {b['pool']}")
    print(f"{len(set(lost))} of {len(names)} submissions answered 410, {len(twice)} subtasks run twice")
    return 1 if lost or twice else 0


w.main(case)
