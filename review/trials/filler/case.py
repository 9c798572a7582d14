"""A task that fills and asks for more cores than any runner has idle."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "lib"))
from cell import FINISH_S, is_trouble, main, step  # noqa: E402

RUNNERS = 7
WATCHED_S = 6


async def case(cell):
    await cell.settle(RUNNERS)
    cell.record.zero()
    if is_trouble():
        # 31% of the service's cores, on all runners alike.
        await cell.submit({"ms": 0}, [step(RUNNERS, cpu=5000, longRunning=True,
                                           antiAffinity=1)])
    await asyncio.sleep(1.0)
    job = await cell.submit({"ms": 500}, [step(1, cpu=12000, fillCount=1)])
    while cell.record.now() < FINISH_S + WATCHED_S:
        await asyncio.sleep(0.1)
    await cell.state(job)
    return not any(task.startswith(job)
                   for _, _, task, _ in cell.ledger.starts)


main(HERE, case)
