"""A runner with many short tasks is cut off and runs on."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "lib"))
from cell import is_trouble, main, step  # noqa: E402

# One of these is cut off: a share of 1/7, below the 0.17 of `node_cut`.
RUNNERS = 7
CAPACITY = {"cpu": 64000, "memMb": 131072, "gpu": 0}
JOBS = 16
TASKS = 100
TASK = {"cpu": 30, "memMb": 60}
# A task takes from TASK_MS to TASK_MS + SPREAD_MS.
TASK_MS = 4000
SPREAD_MS = 1000
CUT_S = 5.5


async def case(cell):
    await cell.settle(RUNNERS, capacity=CAPACITY)
    cell.record.zero()
    jobs = []
    for _ in range(JOBS):
        jobs.append(await cell.submit({"ms": TASK_MS, "spread": SPREAD_MS},
                                      [step(TASKS, **TASK)]))
        await asyncio.sleep(0.02)
    # The cut begins once all tasks run, and before the first of them ends.
    while sum(len(it.runs) for it in cell.runners) < JOBS * TASKS and \
            cell.record.now() < TASK_MS / 1000 - 0.2:
        await asyncio.sleep(0.02)
    busiest = max(cell.runners, key=lambda it: len(it.runs))
    cell.record.note(f"{busiest.name} runs {len(busiest.runs)} tasks")
    if is_trouble():
        cell.record.note(f"{busiest.name} is cut off")
        busiest.is_cut = True
        await asyncio.sleep(CUT_S)
        busiest.is_cut = False
        cell.record.note(f"the cut of {busiest.name} has healed")
    for job in jobs:
        await cell.wait_state(job, "completed", 30)
    again = cell.ledger.starts_after_done()
    for it in again:
        cell.record.note(f"START AFTER DONE: {it}")
    cell.record.note(f"{len(again)} starts after an end `done` that was taken "
                     f"note of; {len(cell.ledger.overlaps)} overlaps")
    return bool(again or cell.ledger.overlaps)


main(HERE, case)
