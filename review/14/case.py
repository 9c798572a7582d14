"""The number of pending jobs while their runner is lost."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))
import cell as cells  # noqa: E402
from record import read  # noqa: E402

RUNNERS = [f"r-{i:02}" for i in range(1, 9)]
JOBS = [f"00000000000000b{i}" for i in range(6)]
NEEDED = "b"
# `visible_ms` and 2 s more.
VISIBLE_S = 5.0
LOOKS = 10


def play(cell, trouble):
    cell.start()
    cell.configure(cells.simple_config())
    for i, name in enumerate(RUNNERS):
        cell.runner(name, labels=(NEEDED if i == 0 else "a", "r1-0"))
    cell.await_runners(RUNNERS)
    time.sleep(4)
    if trouble:
        cell.kill(RUNNERS[0])
    for job in JOBS:
        cell.submit("/p/" + job, {"spec": json.dumps({"ms": 300}), "phases": [
            {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 300,
             "requirements": NEEDED}]}, key="key-of-ta")
    time.sleep(VISIBLE_S + 1)
    breaches = []
    for _ in range(LOOKS):
        sent = time.time()
        status, text = cell.client("GET", "/p/", key="key-of-ta")
        begun = {line["task"].split(".")[0]
                 for line in read(cell.record_path) if line["what"] == "begin"}
        waiting = len([job for job in JOBS if job not in begun])
        if status == 200 and 2 * json.loads(text)["pending"] < waiting:
            breaches.append((sent, json.loads(text)["pending"], waiting))
        time.sleep(1)
    if breaches:
        _, shown, waiting = breaches[0]
        return (f"MIXED: pending is {shown} while {waiting} accepted jobs have "
                f"not begun, in {len(breaches)} of {LOOKS} answers")
    return None


cells.main(play)
