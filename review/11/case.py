"""A runner goes dark just before a start of a lasting task reaches it.

An ordinary task runs on the same runner.
"""

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
ORDINARY = "00000000000000a0"
LASTING = "00000000000000a1"
TASKS = [f"{LASTING}.0.0.{i}" for i in range(2)]
ORDINARY_MS = 3000
# Three times `finish_s` (14), and four times `maxHoldMs` (10 s).
WAIT_S = 45
# The rule asks for 3 s with nothing running.
IDLE_S = 3.0


def running(lines, gone):
    """The tasks that run on runners that are up."""
    held = set()
    for line in lines:
        if line["what"] == "begin" and line["who"] not in gone:
            held.add((line["task"], line["who"]))
        elif line["what"] == "end":
            held.discard((line["task"], line["who"]))
    return {task for task, _ in held}


def await_begin(cell, task):
    end = time.time() + 10
    while time.time() < end:
        for line in read(cell.record_path):
            if line["what"] == "begin" and line["task"] == task:
                return line["who"]
        time.sleep(0.02)
    raise cells.CannotRun(f"{task} does not begin")


def play(cell, trouble):
    cell.start()
    cell.configure(cells.simple_config())
    for name in RUNNERS:
        cell.runner(name)
    cell.await_runners(RUNNERS)
    time.sleep(4)
    cell.submit("/p/" + ORDINARY, {"spec": json.dumps({"ms": ORDINARY_MS}),
                                   "phases": [{"count": 1, "cpu": 1000,
                                               "memMb": 256,
                                               "estimatedMs": ORDINARY_MS}]},
                key="key-of-ta")
    holder = await_begin(cell, ORDINARY + ".0.0.0")
    time.sleep(0.5)
    gone = set()
    if trouble:
        # A stopped process that never goes on: the runner is dark.
        cell.kill(holder, signal.SIGSTOP)
        gone.add(holder)
    cell.submit("/p/" + LASTING, {"spec": "{}", "phases": [
        {"count": len(TASKS), "cpu": 1000, "memMb": 256, "estimatedMs": 1000,
         "longRunning": True, "maxUnavailable": 1, "antiAffinity": 1}]},
        key="key-of-ta")
    time.sleep(WAIT_S)
    idle = set(TASKS)
    states = set()
    end = time.time() + IDLE_S
    while time.time() < end:
        idle -= running(read(cell.record_path), gone)
        status, text = cell.client("GET", "/p/" + ORDINARY, key="key-of-ta")
        if status == 200:
            states.add(json.loads(text)["state"])
            if ORDINARY + ".0.0.0" in running(read(cell.record_path), gone):
                states.add("begun again")
        time.sleep(0.5)
    breaches = []
    if states == {"running"}:
        breaches.append(f"job {ORDINARY} is shown as running and runs nowhere")
    if idle:
        breaches.append(f"{sorted(idle)} run nowhere")
    if breaches:
        return (f"LOST: {' and '.join(breaches)} {WAIT_S} s after the crash, "
                f"with {len(RUNNERS) - 1} runners up")
    return None


cells.main(play)
