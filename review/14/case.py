"""Tenants get other names while their callers hand jobs in."""

import http.client
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))
import cell as cells  # noqa: E402

RUNNERS = [f"r-{i:02}" for i in range(1, 9)]
CALLERS = 24
FRONTS = 3
# The versions give the tenant these names, with the same key.
NAMES = ["ta-2", "ta-3", "ta-4"]
CHANGE_EVERY_S = 1.0
KEY = "key-of-ta"
# Each caller hands one job in around each version: the first this long before
# it is sent, the others one after the other.
AHEAD_S = 0.004
SPACING_S = 0.001
# `visible_ms`, longer than `configApplyMs`, and a second more.
VISIBLE_S = 4.0
TASK_MS = 50
JOB = {"spec": json.dumps({"ms": TASK_MS}), "phases": [
    {"count": 1, "cpu": 100, "memMb": 16, "estimatedMs": TASK_MS}]}


def tenant(name):
    return {"name": name, "apiKeys": [KEY], "priority": 1, "weight": 1000,
            "maximum": {"cpu": 0, "memMb": 0, "gpu": 0}}


class Caller(threading.Thread):
    """Hands a job in at each of the given times, on one connection."""

    def __init__(self, cell, number, times):
        super().__init__(daemon=True)
        self.number = number
        self.address = cell.frontend(number % FRONTS)
        self.times = times
        self.calls = []

    def run(self):
        body = json.dumps(JOB)
        headers = {"Host": "a.example", "Authorization": "Bearer " + KEY,
                   "Content-Type": "application/json",
                   "Jujubedyke-Deadline-Ms": "3000"}
        host, port = self.address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=3)
        connection.connect()
        for sent, at in enumerate(self.times):
            job = f"{self.number:08x}{sent:08x}"
            time.sleep(max(0.0, at - time.time()))
            began = time.time()
            try:
                connection.request("POST", "/p/" + job, body, headers)
                answer = connection.getresponse()
                answer.read()
                status = answer.status
            except (OSError, http.client.HTTPException):
                connection.close()
                status = None
            self.calls.append((began, job, status))
        connection.close()


def play(cell, trouble):
    cell.start()
    cell.configure(cells.simple_config(tenants=[tenant("ta")]))
    for name in RUNNERS:
        cell.runner(name)
    cell.await_runners(RUNNERS)
    time.sleep(4)
    changes = [time.time() + 1 + i * CHANGE_EVERY_S for i in range(len(NAMES))]
    callers = [Caller(cell, i, [at - AHEAD_S + i * SPACING_S for at in changes])
               for i in range(CALLERS)]
    cell.note("the callers hand in", sent=JOB, key=KEY)
    for caller in callers:
        caller.start()
    for version, (name, at) in enumerate(zip(NAMES, changes), start=2):
        time.sleep(max(0.0, at - time.time()))
        if trouble:
            cell.configure(cells.simple_config(version=version,
                                               tenants=[tenant(name)]))
    for caller in callers:
        caller.join()
    accepted = []
    for at, job, status in sorted(c for caller in callers
                                  for c in caller.calls):
        cell.note("handed in", job=job, sent=round(at, 3), status=status)
        if status == 200:
            accepted.append(job)
    time.sleep(VISIBLE_S)
    gone, known = [], 0
    for job in accepted:
        status, _ = cell.client("GET", "/p/" + job, key=KEY)
        known += status == 200
        if status == 410:
            gone.append(job)
    if gone:
        return (f"LOST: {len(gone)} of {len(accepted)} accepted jobs that "
                f"nobody has cancelled are answered with 410: {gone[:5]}")
    if not known:
        raise cells.CannotRun("no read of a job is answered")
    return None


cells.main(play, fronts=FRONTS)
