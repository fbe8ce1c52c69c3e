"""Gangs, and a worker that fails all that it starts for some seconds."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import world as w  # noqa: E402

PREFIX = "/gangs/"
PHASES = [{"count": 4, "cpu": 1500, "memMb": 100, "estimateMs": 1000, "gang": True}]
MAX_ATTEMPTS = 3
SUBMISSIONS = 30
# One of 9 workers (the share of 0.085 in teranga-jobs), for 6.5 s.
GREY_S = 6.5


async def case(world, trouble):
    for i in range(9):
        world.add_worker("pool", 16000, rack=f"r1-{i % 3 + 1}")
    await world.start_platform()
    world.configure({PREFIX: "pool"}, ["pool"])
    nodes = ["n1", "n2", "n3"]
    for name in nodes:
        world.start_node(name)
    if not await world.wait_ready(nodes):
        return 2
    await asyncio.sleep(3)
    names = [f"{0xf000 + i:016x}" for i in range(SUBMISSIONS)]

    async def grey():
        await asyncio.sleep(2)
        worker = world.workers[0]
        world.rec.write("worker fails all that it starts", worker=worker.id)
        worker.fails = True
        await asyncio.sleep(GREY_S)
        worker.fails = False
        world.rec.write("worker is sound again", worker=worker.id)

    if trouble:
        asyncio.ensure_future(grey())
    for name in names:
        if not await world.submit(PREFIX, name, PHASES):
            return 2
        await asyncio.sleep(0.3)
    await asyncio.sleep(w.BOUNDS["finish_s"])
    broken = 0
    for name in names:
        state = await world.state_within(name)
        failed_runs = {r["run"] for r in world.history if r["task"].startswith(name) and r["how"] == "failed"}
        if state == "failed" and len(failed_runs) < MAX_ATTEMPTS:
            broken += 1
            world.rec.write("LOST", submission=name, state=state, failed_runs=sorted(failed_runs))
            print(f"LOST: {name} is shown as failed; its gang has failed {len(failed_runs)} of {MAX_ATTEMPTS} times")
    print(f"{broken} of {len(names)} submissions shown as failed without cause")
    return 1 if broken else 0


w.main(case)
