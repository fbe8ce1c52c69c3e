"""One of the subtasks that last ends by itself, as `done`."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import world as w  # noqa: E402

# LOST: 3 s, from 6 s after the subtask's last run.
STANDSTILL_S = 3 + 6
PATH = "/puxa400/"
NUMBER = "5c0e7a21d94b36f8"
COUNT = 2
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
    ending = f"{NUMBER}.0.0.1"

    def length(worker, run):
        if run.task == ending and run.number == 1:
            return 4000, "done" if trouble else "failed"
        return None

    for name in ("i-a1", "i-b1", "i-c1"):
        world.workers.append(w.Worker(world, name, "citations", length))
    world.describe(NUMBER, LASTING)
    await world.begin([w.ROUTE], [w.SERVICE])
    if not await world.ready(PATH):
        return None
    if not await world.submit(PATH, NUMBER, LASTING):
        return None
    await asyncio.sleep(20)
    runs = [r for r in world.runs if r["task"] == ending]
    if not runs:
        return None
    now = time.monotonic()
    still = now - max(r["end"] or now for r in runs)
    world.record("subtask", task=ending, runs=len(runs), still_s=round(still, 1))
    world.record("submission", state=await world.state(PATH, NUMBER))
    return still < STANDSTILL_S


if __name__ == "__main__":
    w.run_case(case, HERE)
