"""Look-up answers follow upstreams at once and configurations in steps."""

from datetime import timedelta

import pytest

from lycheedyke.protocol import (
    CallerLimits,
    EntryRecord,
    RegistryItem,
    Route,
    RouteKind,
    RoutePart,
    RoutingRecord,
    ServiceLimits,
)
from lycheedyke.state import Counters, RunTimeStats, Suspects, UpstreamTable
from lycheedyke_daemon.gateway._lookup import LookupDirectory
from lycheedyke_daemon.gateway._registry_view import RegistryView
from standins.clock import ManualClock
from standins.records import make_upstream

ZONES = {'pnw-a': 'pnw', 'nc-a': 'nc'}
HOST = 'shop.example'
SHIFT_MOST = 0.15
SHIFT_WINDOW_SECONDS = 2
STEPS_PER_WINDOW = 4
INSTANCES = 30
# An answer names at most 64 instances, so the fractions are rounded.
ROUNDING = 0.03


def _routing(number: int, service: str) -> RoutingRecord:
    second = timedelta(seconds=1)
    route = Route(
        name='read',
        host=HOST,
        prefix='/read/',
        kind=RouteKind.idempotent,
        parts=(RoutePart(service, 1),),
        timeout=second,
        goal=second,
    )
    terms = tuple(ServiceLimits(name, 10, 1) for name in ('here', 'there'))
    return RoutingRecord(number, (route,), terms, CallerLimits())


class _Testbed:
    """One directory; 'here' runs in pnw-a only and 'there' in nc-a only."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.upstream_table = UpstreamTable(self.clock)
        self.registry_view = RegistryView(
            self.upstream_table, Suspects(self.clock), Counters(), self.clock
        )
        entries = [
            EntryRecord(f'{zone}-{at}', 'run', zone, region, f'{zone}:{at}', '')
            for zone, region in ZONES.items()
            for at in range(INSTANCES)
        ]
        for entry in entries:
            self.registry_view.apply(RegistryItem(entry.name, 1, entry), None)
        for service, zone in (('here', 'pnw-a'), ('there', 'nc-a')):
            for at in range(3):
                name = f'{service}-{at}'
                self.upstream_table.apply(
                    make_upstream(name, service=service, zone=zone)
                )
        self.configure(1, 'here')
        self.directory = LookupDirectory(
            entries[0],
            self.registry_view,
            self.upstream_table,
            RunTimeStats(),
            ZONES,
            SHIFT_MOST,
            self.clock,
        )

    def configure(self, number: int, service: str) -> None:
        record = _routing(number, service)
        self.registry_view.apply(RegistryItem('routing', number, record), None)

    def fraction_moved(self) -> float:
        """Returns the fraction of pnw-a's look-up answer that is in nc-a."""
        listed = self.directory.find(HOST, 'pnw-a')
        return sum(each.startswith('nc-a') for each in listed) / len(listed)


def test_a_configuration_moves_callers_at_the_pace_of_the_setting() -> None:
    """In each window, at most `SHIFT_MOST` of the callers change region."""
    testbed = _Testbed()
    record = make_upstream('there-9', service='there', zone='pnw-a')
    testbed.upstream_table.apply(record)
    fractions = [testbed.fraction_moved()]
    testbed.configure(2, 'there')
    for _ in range(STEPS_PER_WINDOW * 15):
        testbed.clock.advance(SHIFT_WINDOW_SECONDS / STEPS_PER_WINDOW)
        fractions.append(testbed.fraction_moved())
    # One of 4 upstreams is in the zone, which has half of the callers.
    assert fractions[0] == 0
    assert fractions[-1] == pytest.approx(0.5, abs=ROUNDING)
    for before, after in zip(
        fractions, fractions[STEPS_PER_WINDOW:], strict=False
    ):
        assert after - before <= SHIFT_MOST + ROUNDING


def test_callers_follow_lost_upstreams_at_once() -> None:
    """Callers are not kept in a zone without upstreams of their service."""
    testbed = _Testbed()
    assert testbed.fraction_moved() == 0
    testbed.configure(2, 'there')
    testbed.clock.advance(0.3)
    assert testbed.fraction_moved() == 1


# Guards against callers who are sent to upstreams that refuse them for their limits.
def test_callers_leave_limited_upstreams_at_the_pace_of_the_setting() -> None:
    """They come back at the same pace after the end of the limits."""
    testbed = _Testbed()
    for at in range(3):
        record = make_upstream(f'here-far-{at}', service='here', zone='nc-a')
        testbed.upstream_table.apply(record)
    fractions = [testbed.fraction_moved()]
    limited = [f'here-{at}' for at in range(3)]
    for rate in (0, None):
        for name in limited:
            state = testbed.upstream_table.find(name)
            assert state is not None
            testbed.upstream_table.record_limit(
                state.record, rate, testbed.clock.elapsed()
            )
        for _ in range(STEPS_PER_WINDOW * 15):
            testbed.clock.advance(SHIFT_WINDOW_SECONDS / STEPS_PER_WINDOW)
            fractions.append(testbed.fraction_moved())
    assert fractions[0] == 0
    assert max(fractions) > 0.8
    assert fractions[-1] == 0
    for before, after in zip(
        fractions, fractions[STEPS_PER_WINDOW:], strict=False
    ):
        assert abs(after - before) <= SHIFT_MOST + ROUNDING
