"""A tenant is merged into another one while its job runs."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))
import cell as cells  # noqa: E402

RUNNERS = [f"r-{i:02}" for i in range(1, 9)]
JOB = "00000000000000d1"
KEY_A, KEY_B = "key-of-ta", "key-of-tb"
TASK_MS = 8000
# `visible_ms`, longer than `configApplyMs`, and a second more.
VISIBLE_S = 4.0
LOOKS = 10


def tenant(name, keys):
    return {"name": name, "apiKeys": keys, "priority": 1, "weight": 1000,
            "maximum": {"cpu": 0, "memMb": 0, "gpu": 0}}


def play(cell, trouble):
    cell.start()
    cell.configure(cells.simple_config(
        tenants=[tenant("ta", [KEY_A]), tenant("tb", [KEY_B])]))
    for name in RUNNERS:
        cell.runner(name)
    cell.await_runners(RUNNERS)
    time.sleep(4)
    cell.submit("/p/" + JOB, {"spec": json.dumps({"ms": TASK_MS}), "phases": [
        {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": TASK_MS},
        {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": TASK_MS,
         "dependencies": [0]}]}, key=KEY_B)
    time.sleep(VISIBLE_S)
    status, _ = cell.client("GET", "/p/" + JOB, key=KEY_B)
    if status != 200:
        raise cells.CannotRun("the job is not known before the change")
    if trouble:
        cell.configure(cells.simple_config(
            version=2, tenants=[tenant("ta", [KEY_A, KEY_B])]))
    time.sleep(VISIBLE_S)
    gone, known = 0, 0
    for _ in range(LOOKS):
        status, _ = cell.client("GET", "/p/" + JOB, key=KEY_B)
        gone += status == 410
        known += status == 200
        time.sleep(1)
    # What the other caller of the merged tenant and a repeated call get.
    cell.client("GET", "/p/" + JOB, key=KEY_A)
    cell.client("POST", "/p/" + JOB, {"spec": "{}", "phases": [
        {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 1000}]},
        key=KEY_B)
    cell.client("GET", "/p/" + JOB, key=KEY_B)
    if gone:
        return (f"LOST: an accepted job that nobody has cancelled is answered "
                f"with 410 in {gone} of {LOOKS} reads")
    if not known:
        raise cells.CannotRun("no read of the job is answered")
    return None


cells.main(play)
