"""A heartbeat of another writer names a service that isn't ours, and an address
that one of our runners has."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import CAPACITY, CannotRun, is_trouble, main, step  # noqa: E402
from wire import call  # noqa: E402

RUNNERS = 8
TASKS = 4
TASK_MS = 6000


def foreign_beat(address, zone):
    return {"service": "another-service", "address": address, "zone": zone,
            "version": "v1", "slots": 8, "state": "ready",
            "coldRemainingMs": 0, "capacity": CAPACITY,
            "labels": ["x", "r9-9"], "clockMs": 1000, "sequence": 1,
            "born": int(time.time() * 1000)}


async def case(cell):
    await cell.settle(RUNNERS)
    cell.record.zero()
    job = await cell.submit({"ms": TASK_MS}, [step(TASKS)])
    await asyncio.sleep(1.0)
    busy = next((it for it in cell.runners if it.runs), None)
    if busy is None:
        raise CannotRun("no runner has begun a task")
    if is_trouble():
        answer = await call(cell.controls[0], "PUT", "/instances/x-another",
                            foreign_beat(busy.address, busy.zone))
        if answer is None:
            raise CannotRun("the heartbeat got no answer")
        cell.record.note(f"another writer: heartbeat of x-another at "
                         f"{busy.address}, the address of {busy.name}, answered "
                         f"{answer.status}")
    if not await cell.wait_state(job, "completed", 30):
        raise CannotRun("the job is not completed")
    # For the record: whether the runner that the heartbeat named is used.
    later = await cell.submit({"ms": 500},
                              [step(RUNNERS, cpu=9000)])
    await cell.wait_state(later, "completed", 10)
    used = {name for _, name, task, _ in cell.ledger.starts
            if task.startswith(later)}
    cell.record.note(f"{busy.name} is given later work: {busy.name in used}")
    return bool(cell.ledger.overlaps or cell.ledger.starts_after_done())


main(HERE, case)
