"""A worker crashes and starts again under its id while the platform's list of
machines is slow."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import world as w  # noqa: E402

SLOW = 50  # cloud_slow: x
SLOW_S = 5  # its for_s
CRASH_S = 2.3
WORK_MS = 60_000
PATH = "/puxa400/"


def submission(count, cpu):
    return {
        "spec": "long",
        "phases": [
            {"count": count, "cpu": cpu, "memMb": 50, "estimateMs": WORK_MS}
        ],
    }


async def case(world, trouble):
    for name in w.WORKERS:
        world.workers.append(
            w.Worker(world, name, "citations", lambda worker, run: (WORK_MS, "done"))
        )
    await world.begin([w.ROUTE], [w.SERVICE])
    if not await world.ready(PATH):
        return None

    async def hand_in(number, count, cpu):
        body = submission(count, cpu)
        name = f"{number:016x}"
        world.describe(name, body)
        return await world.submit(PATH, name, body)

    if not await hand_in(1, 5, 1000):
        return None
    await asyncio.sleep(4)
    victim = max(world.workers, key=lambda x: len(x.running))
    if not victim.running:
        return None

    async def crash():
        await asyncio.sleep(0.7)
        victim.crash()
        await asyncio.sleep(CRASH_S)
        await victim.boot()

    # Small submissions come all the while.
    if trouble:
        world.cloud_ms *= SLOW
        restart = asyncio.create_task(crash())
    begun = time.monotonic()
    for i in range(50):
        if not await hand_in(100 + i, 1, 50):
            return None
        await asyncio.sleep(max(0, begun + SLOW_S * (i + 1) / 50 - time.monotonic()))
    if trouble:
        world.cloud_ms /= SLOW
        await restart
    await asyncio.sleep(15)
    now = time.monotonic()
    held = True
    for a in world.runs:
        for b in world.runs:
            if (
                a is not b
                and a["task"] == b["task"]
                and a["begin"] <= b["begin"] < (a["end"] or now)
            ):
                over = min(a["end"] or now, b["end"] or now) - b["begin"]
                world.record(
                    "two_runs",
                    task=a["task"],
                    first=[a["worker"], a["run"]],
                    second=[b["worker"], b["run"]],
                    together_ms=round(over * 1000),
                )
                held = False
    return held


if __name__ == "__main__":
    w.run_case(case, HERE)
