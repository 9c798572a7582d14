"""The leader freezes for less than half a second while a start is being refused."""
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import (TROUBLE, CannotRun, Client, Runner, configuration,  # noqa: E402
                      run_case, wait_until_known)

RUNNERS = 12
TASKS = 6
FREEZE_S = (0.41, 0.45)
# A machine counts as lost until `catchUpS` after it is back, and one may be lost.
CATCH_UP_S = 4.2
# A runner that refused a start is not used for a second.
PAUSE_S = 1.2
LAST_FREEZE_S = 75
# `finish_s`, and some time to spare.
WATCHED_S = 18


class SickRunner(Runner):
    """A sound runner that refuses starts with 503 while `is_sick`."""

    def __init__(self, *args):
        self.is_sick = False
        self.on_start = lambda: None
        super().__init__(*args)

    def handle(self, path, body):
        if path != "/run-start" or not self.is_sick:
            return super().handle(path, body)
        self.record(f"{self.name} run-start {body['task']} attempt {body['attempt']} -> 503")
        self.on_start()
        return 503, {}


def case(cell, record):
    cell.configure(configuration(1))
    sick = SickRunner(cell, record, "i-1", 1)
    runners = [sick] + [Runner(cell, record, f"i-{n}", n) for n in range(2, RUNNERS + 1)]
    wait_until_known(runners)
    client = Client(cell, record)
    frozen = {"name": None, "until": 0.0, "count": 0}

    def freeze():
        # Once for each job: the machine that gave the last order.
        sick.on_start = lambda: None
        name = frozen["name"]
        cell.signal(name, signal.SIGSTOP)
        frozen["count"] += 1
        frozen["until"] = record.now() + FREEZE_S[1] + CATCH_UP_S
        threading.Timer(random.uniform(*FREEZE_S), cell.signal,
                        (name, signal.SIGCONT)).start()

    def has_begun(job):
        """True if all tasks of the job have begun on a runner."""
        return len({task for runner in runners for _, task, _ in list(runner.starts)
                    if task.startswith(job)}) == TASKS

    job, stuck = None, False
    while record.now() < LAST_FREEZE_S and not stuck:
        time.sleep(PAUSE_S)
        leader = cell.leader()
        if leader is None or (leader != frozen["name"] and record.now() < frozen["until"]):
            continue
        frozen["name"] = leader
        sick.on_start = freeze if TROUBLE else lambda: None
        sick.is_sick = True
        job = client.submit([{"count": TASKS, "cpu": 1000, "memMb": 512, "estimatedMs": 300}],
                            spec="0.3")
        until = record.now() + 3
        while not has_begun(job) and record.now() < until:
            time.sleep(0.05)
        sick.is_sick = False
        stuck = not has_begun(job)
    if TROUBLE and frozen["count"] == 0:
        raise CannotRun("no leader was frozen")
    until = record.now() + WATCHED_S
    state = client.state(job)
    while stuck and state != "completed" and record.now() < until:
        time.sleep(1)
        state = client.state(job)
    running = sum(len(runner.running) for runner in runners)
    record(f"{frozen['count']} freezes; all tasks of the last job have begun: "
           f"{has_begun(job)}; its state: {state}; tasks running anywhere: {running}")
    return stuck and state != "completed" and not has_begun(job)


run_case(HERE, case)
