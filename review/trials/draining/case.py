"""A runner that answers nothing for a while leaves; a start reaches it then."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "lib"))
from cell import DRAIN_MS, is_trouble, main, step  # noqa: E402

# One of these hangs and leaves: a share of 0.0625 (`srv_grey` 0.1, `scale_in`
# 0.065).
RUNNERS = 16
HANG_S = 5.5
DRAIN_AT_S = 1.0


async def case(cell):
    await cell.settle(RUNNERS)
    chosen = cell.ledger.starts[-1][1]
    victim = next(it for it in cell.runners if it.name == chosen)
    cell.record.zero()
    victim.is_hanging = is_trouble()
    await cell.submit({"ms": 0}, [step(1, longRunning=True, maxUnavailable=1)])
    await asyncio.sleep(DRAIN_AT_S)
    await victim.drain()
    acknowledged = cell.record.now()
    await asyncio.sleep(max(0.0, HANG_S - cell.record.now()))
    victim.is_hanging = False
    await asyncio.sleep(3.0)
    first = cell.ledger.starts[1:]
    late = [it for it in first if it[1] == victim.name and
            it[0] > acknowledged + DRAIN_MS / 1000]
    cell.record.note(f"draining was acknowledged at {acknowledged:.1f} s; "
                     f"starts later than drainMs: {late}")
    return bool(late)


main(HERE, case)
