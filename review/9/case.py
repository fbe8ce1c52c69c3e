"""A submission fails while the store is slow, and the store turns the leader
away before the failure is stored."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import world as w  # noqa: E402

SLOW = 60  # platform_slow: x of the site file
SLOW_S = 4.5  # its for_s
AWAY_S = 7.0  # platform_down, nodes leader: its for_s
ATTEMPTS = 3  # as in the site file
PATH = "/puxa400/"
NUMBER = "5c0e7a21d94b36f8"
BODY = {
    "spec": "poison",
    "phases": [{"count": 4, "cpu": 5000, "memMb": 50, "estimateMs": 2000}],
}
# Subtasks 0 and 3 fail by their own fault in each run, the others end as done.
FIRST_MS = 200
# After the begin of the last run of subtask 0:
ENDS_MS = {"0": 340, "1": 200, "2": 560, "3": 570}
AWAY_MS = 400


async def case(world, trouble):
    poison = f"{NUMBER}.0.0.0"
    last = {}  # when the last run of the first subtask began

    def length(worker, run):
        index = run.task[-1]
        how = "failed" if index in "03" else "done"
        began = world.open[(worker.id, run.task, run.number, worker.born)]["begin"]
        if how == "failed" and run.number < ATTEMPTS:
            return FIRST_MS, how
        if run.task == poison:
            last.setdefault("at", began)
        if "at" not in last or began > last["at"] + 0.1:
            return 4000, how
        return (last["at"] - began) * 1000 + ENDS_MS[index], how

    for name in ("i-a1", "i-b1", "i-c1", "i-d1"):
        world.workers.append(w.Worker(world, name, "citations", length))
    world.describe(NUMBER, BODY)
    await world.begin([dict(w.ROUTE, maxAttempts=ATTEMPTS)], [w.SERVICE])
    if not await world.ready(PATH):
        return None
    leader = world.find_owner()
    if leader is None:
        return None
    begun = time.monotonic()
    if trouble:
        world.store.factor = SLOW
    if not await world.submit(PATH, NUMBER, BODY):
        return None
    while "at" not in last:
        await asyncio.sleep(0.005)
        if time.monotonic() - begun > 10:
            return None
    await asyncio.sleep(last["at"] + AWAY_MS / 1000 - time.monotonic())
    away = time.monotonic()
    if trouble:
        leader.turn_away(True)
    await asyncio.sleep(max(0, begun + SLOW_S - time.monotonic()))
    world.store.factor = 1
    await asyncio.sleep(max(0, away + AWAY_S - time.monotonic()))
    if trouble:
        leader.turn_away(False)
    await asyncio.sleep(8)
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
    # The same fault breaks BUDGET; shown, not judged.
    for b in world.runs:
        failed = [
            a["run"]
            for a in world.runs
            if a["task"] == b["task"]
            and a["how"] == "failed"
            and a["noted"]
            and a["end"] < b["begin"]
        ]
        if len(failed) >= ATTEMPTS:
            world.record(
                "started_beyond_attempts", task=b["task"], failed=failed, run=b["run"]
            )
    world.record("submission", state=await world.state(PATH, NUMBER))
    return held


if __name__ == "__main__":
    w.run_case(case, HERE)
