"""A worker is cut off and runs on; subtasks that last fail on it meanwhile and
are started again elsewhere. The leader is killed as the cut heals."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import world as w  # noqa: E402

CUT_S = 5.5  # node_cut, servers: for_s of the site file
RESTART_S = 0.5
# LOST: 3 s, from 6 s after the subtask's last run.
STANDSTILL_S = 3 + 6
SETTLE_S = 25
PATH = "/puxa400/"
NUMBER = "5c0e7a21d94b36f8"
COUNT = 4
LASTING = {
    "spec": "lasting",
    "phases": [
        {
            "count": COUNT,
            "cpu": 1000,
            "memMb": 500,
            "estimateMs": 700,
            "longRunning": True,
        }
    ],
}


async def case(world, trouble):
    failing = {}

    def length(worker, run):
        at = failing.get((worker.id, run.task, run.number))
        return (at, "failed") if at is not None else None

    for name in w.WORKERS:
        world.workers.append(w.Worker(world, name, "citations", length))
    world.describe(NUMBER, LASTING)
    await world.begin([w.ROUTE], [w.SERVICE])
    if not await world.ready(PATH):
        return None
    if not await world.submit(PATH, NUMBER, LASTING):
        return None
    await asyncio.sleep(4)
    begun = [r for r in world.runs if r["end"] is None]
    if len(begun) != COUNT:
        return None
    # All run on one worker. They fail there in 1.5 s, as they may at any time.
    victim = next(x for x in world.workers if x.id == begun[0]["worker"])
    for run in victim.running.values():
        after = victim.clock() - run.began + 1500
        failing[(victim.id, run.task, run.number)] = after
    if trouble:
        victim.cut_off()
    await asyncio.sleep(CUT_S)
    leader = world.find_owner()
    if leader is None:
        return None
    if trouble:
        leader.send(signal.SIGKILL)
        victim.heal()
        await leader.process.wait()
        await asyncio.sleep(RESTART_S)
        await leader.start()
    await asyncio.sleep(SETTLE_S)
    now = time.monotonic()
    held = True
    for i in range(COUNT):
        task = f"{NUMBER}.0.0.{i}"
        runs = [r for r in world.runs if r["task"] == task]
        still = now - max(r["end"] or now for r in runs)
        world.record("subtask", task=task, runs=len(runs), still_s=round(still, 1))
        held = held and still < STANDSTILL_S
    world.record("submission", state=await world.state(PATH, NUMBER))
    return held


if __name__ == "__main__":
    w.run_case(case, HERE)
