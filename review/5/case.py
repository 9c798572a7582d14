"""A route is taken out of the configuration and put back while a job runs."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import CannotRun, is_trouble, main, step  # noqa: E402

RUNNERS = 4
MAX_ATTEMPTS = 4
TASKS = 2
# The first run of each task ends `failed` after this time, the others `done`.
TASK_MS = 2000


async def case(cell):
    await cell.settle(RUNNERS)
    cell.record.zero()
    job = await cell.submit({"ms": TASK_MS, "fail": 1}, [step(TASKS)])
    await asyncio.sleep(0.5)
    if is_trouble():
        await cell.put_configuration(cell.configuration(routes=["r-spare"]))
    await asyncio.sleep(3.0)
    if is_trouble():
        await cell.put_configuration(cell.configuration())
    # Longer than configApplyMs after the acknowledgement.
    await asyncio.sleep(3.0)
    await cell.wait_state(job, "completed", 10)
    state = await cell.state(job)
    if state not in ("completed", "failed"):
        raise CannotRun(f"the job is shown as {state}")
    failures = [cell.ledger.failures.get(f"{job}.0.0.{k}", 0)
                for k in range(TASKS)]
    if max(failures) == 0:
        raise CannotRun("no run has failed")
    runs = [it for it in cell.ledger.starts if it[2].startswith(job)]
    cell.record.note(f"the job is shown as {state} after {len(runs)} runs of "
                     f"its tasks, {failures} failed; {MAX_ATTEMPTS} of a task may "
                     "fail")
    return state == "failed" and max(failures) < MAX_ATTEMPTS


main(HERE, case)
