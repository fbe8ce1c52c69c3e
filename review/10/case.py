"""A worker crashes and starts again under its id; the leader is stopped as
planned; the worker is cut off and runs on."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import world as w  # noqa: E402

CRASH_S = 0.13
TERM_AFTER_S = 1.0  # after the worker is back
CUT_AFTER_S = 3.0
CUT_S = 5.5  # node_cut, servers: for_s of the site file
WORK_MS = 40_000
PATH = "/puxa400/"
NUMBER = "5c0e7a21d94b36f8"
COUNT = 6
LONG = {
    "spec": "long",
    "phases": [
        {"count": COUNT, "cpu": 2000, "memMb": 500, "estimateMs": WORK_MS}
    ],
}


async def case(world, trouble):
    for name in ("i-a1", "i-b1", "i-c1"):
        world.workers.append(
            w.Worker(world, name, "citations", lambda worker, run: (WORK_MS, "done"))
        )
    world.describe(NUMBER, LONG)
    await world.begin([w.ROUTE], [w.SERVICE])
    if not await world.ready(PATH):
        return None
    if not await world.submit(PATH, NUMBER, LONG):
        return None
    await asyncio.sleep(20)  # the workers' clocks are well past holdMaxMs
    leader = world.find_owner()
    victim = max(world.workers, key=lambda x: len(x.running))
    if leader is None or not victim.running:
        return None
    if trouble:
        victim.crash()
        await asyncio.sleep(CRASH_S)
        await victim.boot()
    back = time.monotonic()
    await asyncio.sleep(TERM_AFTER_S)
    if trouble:
        leader.send(signal.SIGTERM)
    await asyncio.sleep(CUT_AFTER_S - (time.monotonic() - back))
    if trouble:
        victim.cut_off()
        await asyncio.sleep(CUT_S)
        victim.heal()
        await leader.process.wait()
        await leader.start()
    await asyncio.sleep(8)
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
