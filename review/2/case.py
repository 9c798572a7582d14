"""A core machine is frozen while runners leave; they come back under their ids,
and the DELETE that the frozen machine held is carried out late."""
import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import DRAIN_MS, CannotRun, is_trouble, main, step  # noqa: E402
from runner import Runner  # noqa: E402

# Seven of these leave: a share of 0.146, below the 0.15 of `scale_in`.
RUNNERS = 48
LEAVING = 7
# Length of the freeze; `node_freeze` takes 5 s.
FREEZE_S = 5.0
# An address is used again after `addressReuseS`.
REUSE_S = 2.1
TASK_MS = 12000
# How much later than `addressReuseS` a runner may be back. The time is drawn, so
# that heartbeats and lease answers come at any point of their periods.
SPREAD_S = 0.7


async def leave_and_return(cell, runner, nodes):
    """Sends the DELETE, ends, starts again under the same id, and gets a job.

    Returns the job.
    """
    await runner.leave(nodes)
    await asyncio.sleep(REUSE_S + random.uniform(0, SPREAD_S))
    again = Runner(cell, runner.name, runner.ip, runner.service, runner.zone,
                   runner.labels, runner.capacity, runner.port)
    await again.start()
    cell.runners[cell.runners.index(runner)] = again
    await asyncio.sleep(0.3)
    # As many tasks as fit on the runner; the others are idle.
    return await cell.submit({"ms": TASK_MS},
                             [step(3, cpu=5000, memMb=1024)])


async def case(cell):
    await cell.settle(RUNNERS)
    leader = await cell.leader()
    followers = [it for it in cell.controls if it != leader]
    frozen = followers[0]
    leaving = cell.runners[:LEAVING]
    if not all(await asyncio.gather(*(it.drain() for it in leaving))):
        raise CannotRun("the draining is not acknowledged")
    await asyncio.sleep(DRAIN_MS / 1000 + 0.3)
    cell.record.zero()
    if is_trouble():
        cell.cores[frozen].signal(signal.SIGSTOP)
    # Each takes the frozen machine first, and the next after a second.
    nodes = [frozen, followers[1], leader]
    jobs = await asyncio.gather(*(
        leave_and_return(cell, it, nodes) for it in leaving))
    await asyncio.sleep(max(0.0, FREEZE_S - cell.record.now()))
    busy = [it.name for it in cell.runners[:LEAVING] if it.runs]
    cell.record.note(f"runners that are back and run tasks: {busy}")
    if not busy:
        raise CannotRun("no runner that is back has a task")
    if is_trouble():
        cell.cores[frozen].signal(signal.SIGCONT)
    for job in jobs:
        if not await cell.wait_state(job, "completed", 40):
            raise CannotRun("a job is not completed")
    for it in cell.ledger.starts_after_done():
        cell.record.note(f"START AFTER DONE: {it}")
    return bool(cell.ledger.overlaps or cell.ledger.starts_after_done())


main(HERE, case)
