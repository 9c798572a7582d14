"""The runner that jobs were given to is lost; they are not counted as pending."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "lib"))
from cell import VISIBLE_MS, is_trouble, main, step  # noqa: E402

# One of these is lost for good: a share of 1/7, below the 0.15 of `srv_crash`.
RUNNERS = 7
JOBS = 4
KINDS = ["b", "a", "a", "a", "a", "a", "a"]
AHEAD_S = 0.5


async def case(cell):
    await cell.settle(RUNNERS, kinds=KINDS)
    victim = cell.runners[0]
    await victim.beat()
    cell.record.zero()
    # All jobs need the kind of one runner. It is full, or it is lost.
    if is_trouble():
        victim.crash()
    else:
        await cell.submit({"ms": 30000}, [step(1, cpu=16000,
                                               requirements="b")])
    await asyncio.sleep(AHEAD_S)
    jobs = [await cell.submit({"ms": 500}, [step(2, requirements="b")])
            for _ in range(JOBS)]
    await asyncio.sleep((VISIBLE_MS + 2000) / 1000 + 0.2)
    short = 0
    reads = 0
    for _ in range(20):
        waiting = [it for it in jobs if not any(
            task.startswith(it) for _, _, task, _ in cell.ledger.starts)]
        pending = await cell.pending()
        if pending is not None and waiting:
            reads += 1
            short += pending < len(waiting) / 2
        await asyncio.sleep(0.5)
    cell.record.note(f"{short} of {reads} reads gave under half of the "
                     f"{JOBS} jobs that had not begun")
    return short > 0


main(HERE, case)
