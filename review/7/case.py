"""A version removes a route and adds one of another name at its place."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import (TROUBLE, CannotRun, Client, Runner, configuration, route,  # noqa: E402
                      run_case, wait_until_known)

RUNNERS = 4
TASKS = 4
# `visible_ms`, `contactMs` and `configApplyMs` are 3 s, 3 s and 2 s.
JUDGED_FROM_S = 8
# `finish_s` after the last call that hands a job in.
WATCHED_S = 14 + 6
WINDOW_S = 3


def case(cell, record):
    cell.configure(configuration(1, [route("r-one", "/one/"), route("r-two", "/two/")]))
    runners = [Runner(cell, record, f"i-{n}", n) for n in range(1, RUNNERS + 1)]
    wait_until_known(runners)
    client = Client(cell, record)
    common = {"count": TASKS, "cpu": 1000, "memMb": 512, "estimatedMs": 4000}
    job = client.submit([common, {**common, "dependencies": [0]}], spec="4.0")
    time.sleep(1)
    if sum(len(runner.starts) for runner in runners) != TASKS:
        raise CannotRun("the first step has not begun")
    first = route("r-three" if TROUBLE else "r-one", "/one/")
    cell.configure(configuration(2, [{**first, "timeoutMs": 2900}, route("r-two", "/two/")]))
    applied = record.now()
    answers = []
    idle_since = None
    longest = 0.0
    state = None
    while record.now() < applied + WATCHED_S and state != "completed":
        time.sleep(0.5)
        state = client.state(job)
        now = record.now()
        if now > applied + JUDGED_FROM_S:
            answers.append(state)
        # The turn of the second step comes when the first one has ended.
        if any(runner.running for runner in runners):
            idle_since = None
        else:
            idle_since = idle_since if idle_since is not None else now
            longest = max(longest, now - idle_since)
    started = sorted({task for runner in runners for _, task, _ in runner.starts})
    record(f"tasks started: {len(started)} of {2 * TASKS}; last state {state}; answered "
           f"with 410 from {JUDGED_FROM_S} s on: {answers.count('410')} of {len(answers)}; "
           f"longest time with nothing running: {longest:.1f} s")
    return "410" in answers or (state != "completed" and longest >= WINDOW_S)


run_case(HERE, case)
