"""The store turns the leader away; a gang ends as done just then; a worker that
ran a part of it crashes before the leader's successor can ask it."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import gang_worker  # noqa: E402
import world as w  # noqa: E402

AWAY_S = 7.0  # platform_down, nodes leader: for_s of the site file
CRASH_S = 4.5  # srv_crash: for_s of the site file
WORK_MS = 3000
PATH = "/puxa400/"
NUMBER = "5c0e7a21d94b36f8"
COUNT = 4
GANG = {
    "spec": "gang",
    "phases": [
        {
            "count": COUNT,
            "cpu": 4000,
            "memMb": 500,
            "estimateMs": WORK_MS,
            "gang": True,
        }
    ],
}


async def case(world, trouble):
    for name in w.WORKERS:
        world.workers.append(
            gang_worker.GangWorker(
                world, name, "citations", lambda worker, run: WORK_MS
            )
        )
    world.describe(NUMBER, GANG)
    await world.begin([w.ROUTE], [w.SERVICE])
    if not await world.ready(PATH):
        return None
    if not await world.submit(PATH, NUMBER, GANG):
        return None
    while sum(r["end"] is None for r in world.runs) < COUNT:
        await asyncio.sleep(0.01)
    leader = world.find_owner()
    if leader is None:
        return None
    # The gang's work ends half a second after the leader has lost the store.
    await asyncio.sleep(WORK_MS / 1000 - 0.5)
    if trouble:
        leader.turn_away(True)
    away = time.monotonic()
    await asyncio.sleep(1.3)
    # One of the workers whose ends nobody has taken note of.
    unnoted = [r["worker"] for r in world.runs if r["noted"] is None]
    crashed = next((x for x in world.workers if x.id in unnoted), None)
    if trouble and crashed:
        crashed.crash()
        await asyncio.sleep(CRASH_S)
        await crashed.boot()
    await asyncio.sleep(max(0, away + AWAY_S - time.monotonic()))
    if trouble:
        leader.turn_away(False)
    await asyncio.sleep(20)
    held = True
    for a in world.runs:
        for b in world.runs:
            if (
                a["task"] == b["task"]
                and a["how"] == "done"
                and a["noted"]
                and b["begin"] > a["end"]
            ):
                world.record(
                    "started_again",
                    task=a["task"],
                    done=[a["worker"], a["run"]],
                    again=[b["worker"], b["run"]],
                )
                held = False
    world.record("submission", state=await world.state(PATH, NUMBER))
    return held


if __name__ == "__main__":
    w.run_case(case, HERE)
