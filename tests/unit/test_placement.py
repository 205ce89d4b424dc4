"""The owner checks the region of a request, whatever its sender claims."""

import asyncio
from types import SimpleNamespace
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import Answered, Block, NotRun, Outcome, Reason, Shift
from lycheedyke.state import BlockMap, Configuration, hash_point
from lycheedyke.state._configuration import AcceptedShift
from lycheedyke_daemon.placement import Placement, RegionCheckedRunner
from lycheedyke_daemon.work import Work
from standins.clock import ManualClock


async def _answer(upstream: str, work: Work) -> Outcome:
    return Answered(200, (), b'', upstream)


@given(
    st.integers(0, 255),
    st.floats(0, 1),
    st.sampled_from(['', 'norr', 'vast']),
)
def test_owner_refuses_blocks_above_the_share(
    number: int,
    cap: float,
    claimed: str,
) -> None:
    """Work runs outside its home region only below the share of the shift."""
    clock = ManualClock()
    shift = Shift('kassa', 'norr', 'vast', cap, 1)
    prefix = f'10.0.{number}.0/24'
    configuration = Configuration(
        shifts={'away': AcceptedShift(shift, clock.now())},
        blocks=BlockMap().change({prefix: Block('norr')}),
    )
    log: Any = SimpleNamespace(configuration=configuration)
    table: Any = SimpleNamespace(serves=lambda region, service: True)
    placement = Placement(log, table, 'vast', clock)
    placement.shares.apply(configuration)
    clock.advance(2)
    runner: Any = SimpleNamespace(run=_answer)
    work = Work(
        'kassa',
        'GET',
        '/',
        (),
        b'',
        clock.elapsed(),
        f'10.0.{number}.9',
        home=claimed,
    )
    outcome = asyncio.run(RegionCheckedRunner(placement, runner).run('k', work))
    if hash_point('kassa', prefix) < cap:
        assert isinstance(outcome, Answered)
    else:
        assert outcome == NotRun(Reason.shift_cap)
