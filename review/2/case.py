"""A core machine is frozen while runners leave; they come back under their ids,
and the DELETE that the frozen machine held is carried out late."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from cell import DRAIN_MS, is_trouble, main, step  # noqa: E402
from runner import Runner  # noqa: E402

# Three of these leave: a share of 0.0625, below the 0.065 of `scale_in`.
RUNNERS = 48
LEAVING = 3
# Length of the freeze; `node_freeze` takes 5 s.
FREEZE_S = 5.0
# An address is used again after `addressReuseS`.
REUSE_S = 2.1
TASK_MS = 12000


async def leave_and_return(cell, runner, nodes):
    """Sends the DELETE, ends, and starts again under the same id."""
    await runner.leave(nodes)
    await asyncio.sleep(REUSE_S)
    again = Runner(cell, runner.name, runner.ip, runner.service, runner.zone,
                   runner.labels, runner.capacity, runner.port)
    await again.start()
    cell.runners[cell.runners.index(runner)] = again


async def case(cell):
    await cell.settle(RUNNERS)
    leader = await cell.leader()
    followers = [it for it in cell.controls if it != leader]
    frozen = followers[0]
    leaving = cell.runners[:LEAVING]
    await asyncio.gather(*(it.drain() for it in leaving))
    await asyncio.sleep(DRAIN_MS / 1000 + 0.3)
    cell.record.zero()
    if is_trouble():
        cell.cores[frozen].signal(signal.SIGSTOP)
    # Each takes the frozen machine first, and the next after a second.
    nodes = [frozen, followers[1], leader]
    await asyncio.gather(*(leave_and_return(cell, it, nodes)
                           for it in leaving))
    await asyncio.sleep(0.3)
    # Two thirds of the fleet's room, so that lost tasks can start elsewhere.
    job = await cell.submit({"ms": TASK_MS},
                            [step(2 * RUNNERS, cpu=5000, memMb=1024)])
    await asyncio.sleep(max(0.0, FREEZE_S - cell.record.now()))
    if is_trouble():
        cell.cores[frozen].signal(signal.SIGCONT)
    await cell.wait_state(job, "completed", 40)
    for it in cell.ledger.starts_after_done():
        cell.record.note(f"START AFTER DONE: {it}")
    return bool(cell.ledger.overlaps or cell.ledger.starts_after_done())


main(HERE, case)
