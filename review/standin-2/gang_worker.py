"""Workers that know gangs: the members of a run work from the moment when all
are present, and end together."""

import time

import world as w

GANG_MS = 3000


class Gang:
    def __init__(self, count):
        self.count = count
        self.members = {}  # task: (worker, run)
        self.began = None
        self.over = False


class GangWorker(w.Worker):
    """All steps of its submissions are gangs; `length` gives how many ms a
    gang's work takes, from when all are present."""

    gangs = {}

    def gang_of(self, run):
        number, occurrence, step, _ = run.task.split(".")
        body = self.world.submitted[number]
        key = (number, occurrence, step, run.number)
        return self.gangs.setdefault(key, Gang(body["phases"][int(step)]["count"]))

    def start(self, fields):
        out = super().start(fields)
        run = self.running.get(fields["task"])
        if out[0] == 200 and run:
            gang = self.gang_of(run)
            if not gang.over:
                gang.members[run.task] = (self, run)
                if len(gang.members) == gang.count and gang.began is None:
                    gang.began = time.monotonic()
        return out

    def close(self, run, how):
        """The others of the gang end too, as `done` or `broken`."""
        gang = self.gang_of(run)
        if gang.over:
            return
        gang.over = True
        for worker, other in list(gang.members.values()):
            if other is not run and worker.running.get(other.task) is other:
                worker.end(other, "done" if how == "done" else "broken")

    def end(self, run, how):
        super().end(run, how)
        self.close(run, how)

    def crash(self):
        runs = list(self.running.values())
        super().crash()
        for run in runs:
            self.close(run, "crash")

    def advance(self):
        clock = self.clock()
        for run in list(self.running.values()):
            if self.running.get(run.task) is not run:
                continue
            gang = self.gang_of(run)
            if clock >= self.until:
                self.end(run, "lapsed")
            elif gang.over:
                self.end(run, "broken")
            elif gang.began is None:
                if clock - run.began > GANG_MS:
                    self.end(run, "alone")
            elif (time.monotonic() - gang.began) * 1000 >= self.length(self, run):
                self.end(run, "done")

    def percent(self, run, clock):
        return 0
