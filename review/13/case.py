"""A queue's path is replaced by another one, and then served again."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))
import cell as cells  # noqa: E402

RUNNERS = [f"r-{i:02}" for i in range(1, 9)]
JOB = "00000000000000d2"
KEY = "key-of-ta"
TASK_MS = 10000
# `visible_ms`, longer than `configApplyMs`, and a second more.
VISIBLE_S = 4.0
LOOKS = 10


def route(name, prefix):
    return {**cells.simple_config()["routes"][0], "name": name,
            "pathPrefix": prefix}


def play(cell, trouble):
    cell.start()
    cell.configure(cells.simple_config(routes=[route("r-p", "/p/")]))
    for name in RUNNERS:
        cell.runner(name)
    cell.await_runners(RUNNERS)
    time.sleep(4)
    cell.submit("/p/" + JOB, {"spec": json.dumps({"ms": TASK_MS}), "phases": [
        {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": TASK_MS},
        {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": TASK_MS,
         "dependencies": [0]}]}, key=KEY)
    time.sleep(VISIBLE_S)
    status, _ = cell.client("GET", "/p/" + JOB, key=KEY)
    if status != 200:
        raise cells.CannotRun("the job is not known before the changes")
    if trouble:
        # The queue gets a new path, and 3 s later its old one besides.
        cell.configure(cells.simple_config(
            version=2, routes=[route("r-p", "/x/")]))
        time.sleep(3)
        cell.configure(cells.simple_config(
            version=3, routes=[route("r-p", "/x/"), route("r-old", "/p/")]))
    time.sleep(VISIBLE_S)
    gone, known = 0, 0
    for _ in range(LOOKS):
        status, _ = cell.client("GET", "/p/" + JOB, key=KEY)
        gone += status == 410
        known += status == 200
        time.sleep(1)
    if gone:
        return (f"LOST: an accepted job that nobody has cancelled is answered "
                f"with 410 in {gone} of {LOOKS} reads")
    if not known:
        raise cells.CannotRun("no read of the job is answered")
    return None


cells.main(play)
