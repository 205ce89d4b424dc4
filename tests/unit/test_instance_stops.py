"""Planned stops of a ticket-driven instance, with the real limits."""

import asyncio
import re
from pathlib import Path

import pytest

from lycheedyke_daemon.callers import MAX_REMAINING
from lycheedyke_daemon.forward import ANSWER_MARGIN
from lycheedyke_daemon.servers import CLOSE_LIMIT
from standins.ticket_testbed import TicketTestbed, run_ticket_scenario

LIMIT_SECONDS = 1000
# Longer than any call, so that each uses up its time.
RUN_MS = 200_000
LONGEST = {'Lycheedyke-Remaining-Ms': '60000'}
REQUEST = (
    b'GET /v1/services/kassa/cups/7 HTTP/1.1\r\nHost: a\r\n'
    b'Lycheedyke-Remaining-Ms: 60000\r\n\r\n'
)
CONNECTIONS = 4
# While calls are in flight, the stop closes its ports after 43 s.
MOMENTS_S = (0, 2.9, 20, 42.9)


# Guards against calls that a stop cuts, since they may take as long as it
# waits.
@pytest.mark.parametrize('turns', [1, 2, 3])
def test_calls_read_as_the_ports_close_are_answered(
    tmp_path: Path, turns: int
) -> None:
    """Each call that was passed on gets its answer, also the longest.

    Args:
        tmp_path: the directory of the settings.
        turns: the turns of the event loop by which the calls are ahead.
    """

    async def _scene(testbed: TicketTestbed) -> None:
        await testbed.set_faults(run_ms=RUN_MS)
        connections = [await testbed.connect() for _ in range(CONNECTIONS)]
        servers = testbed.instance._servers
        close = servers.close

        async def _close_behind_calls() -> None:
            for _, writer in connections:
                writer.write(REQUEST)
            for _ in range(turns):
                await asyncio.sleep(0)
            await close()

        servers.close = _close_behind_calls  # type: ignore[method-assign]
        stopping = asyncio.create_task(testbed.instance.stop())
        answers = [await reader.read() for reader, _ in connections]
        await stopping
        outcomes = [
            re.search(b'Lycheedyke-Outcome: (unknown|not-run)', answer)
            for answer in answers
        ]
        assert all(outcomes), answers
        assert await testbed.count_runs()

    run_ticket_scenario(
        tmp_path, _scene, limit_s=LIMIT_SECONDS, run_limit_ms=RUN_MS
    )


# Guards against limits of a stop that no longer fit the longest call.
def test_the_ports_wait_for_the_longest_call() -> None:
    """A call that another instance runs may be answered a little later."""
    assert CLOSE_LIMIT > MAX_REMAINING + 2 * ANSWER_MARGIN


# Guards against calls that a stop cuts while it waits for others.
def test_the_longest_calls_are_answered_in_a_stop(tmp_path: Path) -> None:
    """Calls of 60 s are answered, whenever in a stop they are taken."""

    async def _scene(testbed: TicketTestbed) -> None:
        await testbed.set_faults(run_ms=RUN_MS)

        async def _send(moment: float) -> str:
            await asyncio.sleep(moment)
            return await testbed.send('GET', f'/cups/{moment}', **LONGEST)

        calls = [asyncio.create_task(_send(moment)) for moment in MOMENTS_S]
        await asyncio.sleep(0.05)
        await testbed.instance.stop()
        assert await asyncio.gather(*calls) == ['unknown'] * len(MOMENTS_S)

    run_ticket_scenario(
        tmp_path, _scene, limit_s=LIMIT_SECONDS, run_limit_ms=RUN_MS
    )
