"""A job is cancelled while the entry host that got it stands still."""

import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))
import cell as cells  # noqa: E402
from record import read  # noqa: E402

RUNNERS = [f"r-{i:02}" for i in range(1, 9)]
JOB = "00000000000000c1"
FREEZE_S = 4.0
DEADLINE_S = 3.0
CANCEL_S = 3.0
TASK_MS = 4000


def play(cell, trouble):
    cell.start()
    cell.configure(cells.simple_config())
    for name in RUNNERS:
        cell.runner(name)
    cell.await_runners(RUNNERS)
    time.sleep(4)
    frozen = cell.fronts[0]
    job = {"spec": json.dumps({"ms": TASK_MS}), "phases": [
        {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": TASK_MS},
        {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": TASK_MS,
         "dependencies": [0]}]}
    began = time.time()
    if trouble:
        cell.kill(frozen, signal.SIGSTOP)
    status, _ = cell.client("POST", "/p/" + JOB, job, key="key-of-ta",
                            timeout=DEADLINE_S)
    # The client gives up: it doesn't send the job again, but cancels it.
    cancelled = None
    for _ in range(5):
        answer, _ = cell.client("DELETE", "/p/" + JOB, key="key-of-ta", front=1)
        if answer in (200, 410):
            cancelled = time.time()
            break
        time.sleep(0.2)
    if trouble:
        time.sleep(max(0.0, began + FREEZE_S - time.time()))
        cell.kill(frozen, signal.SIGCONT)
    if cancelled is None:
        raise cells.CannotRun("the cancelling is not acknowledged")
    time.sleep(CANCEL_S + 10)
    cell.client("GET", "/p/" + JOB, key="key-of-ta", front=1)
    for line in read(cell.record_path):
        late = line["t"] - cancelled
        if line["what"] == "begin" and late > CANCEL_S:
            return (f"UNASKED: {line['task']} began on {line['who']} "
                    f"{late:.1f} s after DELETE was answered with {answer} "
                    f"(POST: {status})")
    return None


cells.main(play, fronts=10)
