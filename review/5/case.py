"""One large submission among the usual ones."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import world as w  # noqa: E402

PREFIX = "/archive/"
USUAL = [
    {"count": 6, "cpu": 3500, "memMb": 1000, "estimateMs": 1000},
    {"count": 6, "cpu": 3500, "memMb": 1000, "estimateMs": 1000, "after": [0]},
]
# 27,000 small subtasks, and one that closes.
LARGE = [{"count": 9000, "cpu": 100, "memMb": 10, "estimateMs": 50} for _ in range(3)]
LARGE.append({"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 50, "after": [0, 1, 2]})
LARGE_ID = f"{0x1a59e:016x}"
SECONDS = 24


async def case(world, trouble):
    for i in range(12):
        world.add_worker("pool", 64000, 262144, rack=f"r1-{i // 4 + 1}")
    await world.start_platform()
    world.configure({PREFIX: "pool"}, ["pool"])
    nodes = ["n1", "n2", "n3"]
    for name in nodes:
        world.start_node(name)
    if not await world.wait_ready(nodes):
        return 2
    await asyncio.sleep(3)
    names = []
    sent = []
    if trouble:
        names.append(LARGE_ID)
        sent.append(asyncio.ensure_future(world.submit(PREFIX, LARGE_ID, LARGE)))
    began = world.rec.now()
    while world.rec.now() - began < SECONDS * 1000:
        names.append(f"{0x10000 + len(names):016x}")
        sent.append(asyncio.ensure_future(world.submit(PREFIX, names[-1], USUAL, attempts=4)))
        await asyncio.sleep(0.5)
    accepted = await asyncio.gather(*sent)
    world.rec.write("end of the traffic", accepted=sum(accepted), of=len(names))
    await asyncio.sleep(w.BOUNDS["finish_s"])
    broken = 0
    for name, taken in zip(names, accepted):
        if not taken:
            continue
        step = await world.lost(name) if world.waiting_step(name) is not None else None
        if step is None:
            continue
        broken += 1
        state = await world.state_within(name, 1)
        world.rec.write("LOST", submission=name, state=state, waiting_step=step)
        print(f"LOST: {name} is shown as {state}; step {step} waits, nothing of it runs")
        if broken == 4:
            break
    largest = max((len(v) for key, part in world.store.parts.items() for k, v in part.records if k.startswith("p/")),
                  default=0)
    world.rec.write("largest record of progress", bytes=largest)
    print(f"{sum(accepted)} of {len(names)} accepted, {broken} (4 at most are looked at) lost; "
          f"the largest record stored has {largest} bytes")
    return 1 if broken else 0


w.main(case)
