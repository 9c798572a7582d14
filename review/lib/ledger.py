"""What ran where, as the platform sees it."""


class Ledger:
    """Keeps the starts and ends of all runs and finds tasks that ran twice."""

    def __init__(self, record):
        self._record = record
        self.live = {}       # task -> {(runner, attempt)}
        self.starts = []     # (time, runner, task, attempt)
        self.done = {}       # task -> (time, runner, born, number)
        self.failures = {}   # task -> number of runs that ended failed
        self.cursors = {}    # (runner, born) -> highest ackCursor
        self.overlaps = []   # (time, task, runs)

    def started(self, runner, task, attempt):
        runs = self.live.setdefault(task, set())
        runs.add((runner, attempt))
        now = self._record.now()
        self.starts.append((now, runner, task, attempt))
        self._record.note(f"run of {task} attempt {attempt} starts on {runner}")
        if len(runs) > 1:
            self.overlaps.append((now, task, sorted(runs)))
            self._record.note(f"TWO RUNS AT ONCE of {task}: {sorted(runs)}")

    def ended(self, runner, born, number, task, attempt, how):
        self.live.get(task, set()).discard((runner, attempt))
        self._record.note(f"run of {task} attempt {attempt} ends on {runner}: "
                          f"{how} (end {number})")
        if how == "failed":
            self.failures[task] = self.failures.get(task, 0) + 1
        if how == "done":
            self.done.setdefault(task, (self._record.now(), runner, born,
                                        number))

    def gone(self, runner, task, attempt):
        self.live.get(task, set()).discard((runner, attempt))
        self._record.note(f"run of {task} attempt {attempt} is gone with "
                          f"{runner}")

    def noted(self, runner, born, cursor):
        key = (runner, born)
        if cursor > self.cursors.get(key, 0):
            self.cursors[key] = cursor
            self._record.note(f"ackCursor of {runner} reaches {cursor}")

    def starts_after_done(self):
        """Starts after a run of the task has ended done, if that end was taken
        note of by now."""
        found = []
        for at, runner, task, attempt in self.starts:
            end = self.done.get(task)
            if end and at > end[0] and \
                    self.cursors.get((end[1], end[2]), 0) >= end[3]:
                found.append((at, runner, task, attempt, end))
        return found
