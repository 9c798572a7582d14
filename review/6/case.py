"""A runner crashes for good; a service and a batch job are handed in just after."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import (LASTS, TROUBLE, Client, Runner, configuration,  # noqa: E402
                      run_case, wait_until_known)

RUNNERS = 8
REPLICAS = 6
# The rule counts from 6 s after a task's last run and wants 4 s of calm. A
# scheduler may also have to wait for the longest lease, 10 s on a clock that may
# be 2% slow.
JUDGED_FROM_S = 6 + 4 + 10.2
WATCHED_S = 45
WINDOW_S = 3


def case(cell, record):
    cell.configure(configuration(1))
    runners = [Runner(cell, record, f"i-{n}", n) for n in range(1, RUNNERS + 1)]
    wait_until_known(runners)
    client = Client(cell, record)
    if TROUBLE:
        runners[0].crash()
    crashed = record.now()
    time.sleep(0.5)
    common = {"memMb": 512, "estimatedMs": 1000, "antiAffinity": 1}
    service = client.submit([{"count": REPLICAS, "cpu": 1000, "longRunning": True,
                              "maxUnavailable": 1, **common}], spec=LASTS)
    batch = client.submit([{"count": RUNNERS - 1, "cpu": 500, **common}])
    longest = [0.0] * REPLICAS
    since = [None] * REPLICAS
    while record.now() < crashed + WATCHED_S:
        time.sleep(0.1)
        now = record.now()
        for i in range(REPLICAS):
            task = f"{service}.0.0.{i}"
            if any(runner.is_running(task) for runner in runners):
                since[i] = None
            elif now > crashed + JUDGED_FROM_S:
                since[i] = since[i] if since[i] is not None else now
                longest[i] = max(longest[i], now - since[i])
    state = client.state(batch)
    record(f"longest time without a run from {JUDGED_FROM_S:.1f} s after the crash, "
           f"by task of the service: {[round(x, 1) for x in longest]}")
    record(f"the batch job {WATCHED_S} s after the crash: {state}")
    return max(longest) >= WINDOW_S or state != "completed"


run_case(HERE, case)
