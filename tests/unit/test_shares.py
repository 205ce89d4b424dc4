"""Tests that shift shares never exceed their cap and ramp."""

from datetime import datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import Shift
from lycheedyke.state import Configuration, ShiftPath, ShiftShares
from lycheedyke.state._configuration import AcceptedShift
from standins.clock import ManualClock

PATH = ShiftPath('kassa', 'norr', 'vast')
ROUNDING = 1e-9
shares = st.floats(0, 1)
ramps = st.floats(0.001, 1)
steps = st.one_of(
    st.tuples(st.just('pass'), st.floats(0, 100)),
    st.tuples(st.just('step'), st.floats(-10_000, 10_000)),
    st.tuples(st.just('ticket'), st.tuples(shares, ramps, shares)),
    st.tuples(st.just('serves'), st.booleans()),
    st.tuples(st.just('restart'), st.none()),
)


def _configure(
    cap: float,
    ramp: float,
    accepted: datetime,
    *,
    start_share: float = 0,
    failover: bool = False,
) -> Configuration:
    shift = Shift(*PATH[:3], cap, ramp, start_share, failover)
    return Configuration(shifts={'away': AcceptedShift(shift, accepted)})


@given(st.lists(steps, max_size=30), st.booleans())
def test_share_keeps_cap_and_ramp(
    events: list[tuple[str, object]],
    failover: bool,
) -> None:
    """Clock steps, restarts and new tickets do not raise the share faster."""
    clock = ManualClock()
    serves = [False]
    cap, ramp = 0.5, 0.01
    configuration = _configure(cap, ramp, clock.now(), failover=failover)

    def start() -> ShiftShares:
        return ShiftShares(clock, lambda service, region: serves[0])

    tested = start()
    clock.advance(20)
    tested.apply(configuration)
    bound, stepped = 0.0, False
    for kind, amount in events:
        match kind, amount:
            case 'pass', float(seconds):
                clock.advance(seconds)
                bound += ramp * timedelta(seconds=seconds).total_seconds()
            case 'step', float(seconds):
                clock.advance_wall_clock(seconds)
                stepped = True
            case 'ticket', (float(cap), float(ramp), float(start_share)):
                configuration = _configure(
                    cap,
                    ramp,
                    clock.now(),
                    start_share=start_share,
                    failover=failover,
                )
                tested.apply(configuration)
            case 'serves', bool(is_serving):
                serves[0] = is_serving
            case 'restart', _ if failover or not stepped:
                tested = start()
                clock.advance(0 if failover else 20)
                bound += 0 if failover else ramp * 20
                tested.apply(configuration)
        bound = min(bound, cap)
        if kind == 'pass':
            continue
        share = tested.share(PATH._replace(failover=failover))
        assert share <= bound + ROUNDING
        assert not (failover and serves[0] and share)


@given(st.floats(0, 1), ramps, st.floats(0, 1000), st.floats(-900, 0))
def test_restart_goes_on_from_the_share(
    cap: float,
    ramp: float,
    age: float,
    step: float,
) -> None:
    """A restarted process has the same share as one that kept running."""
    clock = ManualClock()
    configuration = _configure(cap, ramp, clock.now())
    running = ShiftShares(clock, lambda service, region: True)
    running.apply(configuration)
    clock.advance(age)
    started = ShiftShares(clock, lambda service, region: True)
    started.apply(configuration)
    assert abs(started.share(PATH) - running.share(PATH)) < 1e-5
    clock.advance_wall_clock(step)
    clock.advance(1)
    assert abs(started.share(PATH) - running.share(PATH)) < 1e-5
    running.apply(Configuration())
    assert not running.share(PATH)
