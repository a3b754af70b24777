"""Not a case: a node that is stopped as planned cuts statements that it has passed on to a database.

Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0: no SIGTERM.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from standins import Client, Record, System, main, route  # noqa: E402

GRACE_SECONDS = 6.0
TIMEOUT_MS = 3000
WORK_SECONDS = 2.85
"""How long the database works on a write, which is within the route's timeout."""
FIRST_SENT, STEP, WRITERS = 1.60, 0.025, 8
"""When the clients send their writes, after the SIGTERM (seconds)."""


async def case(system: System, record: Record, trouble: bool) -> int:
    system.group.work = lambda text: WORK_SECONDS if text.startswith("stop-") else 0.005
    system.group.slots = 16
    await system.start([route("assign", "repartos", "primary", TIMEOUT_MS)])
    node = system.nodes[0]
    clients = [await Client.open(record, node, "repartos") for _ in range(WRITERS)]
    if None in clients:
        return 2
    for number, client in enumerate(clients):
        if client is None or not (await client.run(f"WRITE warm-{number} x"))[0].startswith("DONE"):
            return 2
    await asyncio.sleep(8.0)

    if trouble:
        record.add("SIGTERM", node=node.name)
        node.send(signal.SIGTERM)
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def write(number: int, client: Client) -> bool:
        """Return whether the write was lost."""
        sent = FIRST_SENT + number * STEP
        await asyncio.sleep(began + sent - loop.time())
        answer, complete = await client.run(f"WRITE stop-{number} delivered")
        after = loop.time() - began
        # Not counted: the timeout was reached, or the database still worked in the last sixth.
        timed_out = after >= sent + TIMEOUT_MS / 1000 - 0.02
        worked_late = sent + WORK_SECONDS >= GRACE_SECONDS * 5 / 6
        lost = answer == "closed" and not timed_out and not worked_late
        record.add("judged", write=f"stop-{number}", ended=round(after, 3), lost=lost)
        return lost

    lost = await asyncio.gather(
        *(write(number, client) for number, client in enumerate(clients) if client is not None)
    )
    await asyncio.sleep(1.0)
    committed = [what for _, what in next(iter(system.group.members.values())).log]
    for number, one in enumerate(lost):
        if one:
            record.add("lost", write=f"stop-{number}", kept=f"stop-{number} delivered" in committed)
    return 1 if any(lost) else 0


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent, nodes=3))
