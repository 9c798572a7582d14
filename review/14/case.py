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
CALLERS = 12
FRONTS = 3
# The versions give the tenant these names, with the same key.
NAMES = [f"ta-{i}" for i in range(2, 12)]
CHANGE_EVERY_S = 1.0
KEY = "key-of-ta"
PAUSE_S = 0.01
# `visible_ms`, longer than `configApplyMs`, and a second more.
VISIBLE_S = 4.0
TASK_MS = 50


def tenant(name):
    return {"name": name, "apiKeys": [KEY], "priority": 1, "weight": 5000,
            "maximum": {"cpu": 0, "memMb": 0, "gpu": 0}}


class Caller(threading.Thread):
    """Hands jobs in, one after the other, on one connection."""

    def __init__(self, cell, number):
        super().__init__()
        self.number = number
        self.address = cell.frontend(number % FRONTS)
        self.stopped = threading.Event()
        self.calls = []

    def run(self):
        body = json.dumps({"spec": json.dumps({"ms": TASK_MS}), "phases": [
            {"count": 1, "cpu": 100, "memMb": 16, "estimatedMs": TASK_MS}]})
        headers = {"Host": "a.example", "Authorization": "Bearer " + KEY,
                   "Content-Type": "application/json",
                   "Jujubedyke-Deadline-Ms": "3000"}
        host, port = self.address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=3)
        sent = 0
        while not self.stopped.is_set():
            job = f"{self.number:08x}{sent:08x}"
            sent += 1
            at = time.time()
            try:
                connection.request("POST", "/p/" + job, body, headers)
                answer = connection.getresponse()
                answer.read()
                status = answer.status
            except (OSError, http.client.HTTPException):
                connection.close()
                status = None
            self.calls.append((at, job, status))
            time.sleep(PAUSE_S)
        connection.close()


def play(cell, trouble):
    cell.start()
    cell.configure(cells.simple_config(tenants=[tenant("ta")]))
    for name in RUNNERS:
        cell.runner(name)
    cell.await_runners(RUNNERS)
    time.sleep(4)
    callers = [Caller(cell, i) for i in range(CALLERS)]
    for caller in callers:
        caller.start()
    for version, name in enumerate(NAMES, start=2):
        time.sleep(CHANGE_EVERY_S)
        if trouble:
            cell.configure(cells.simple_config(version=version,
                                               tenants=[tenant(name)]))
    time.sleep(CHANGE_EVERY_S)
    for caller in callers:
        caller.stopped.set()
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
