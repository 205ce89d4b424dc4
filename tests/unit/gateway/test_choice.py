"""Tests of upstream selection and of admission by goal."""

from datetime import timedelta

from lycheedyke.protocol import RoutePart
from lycheedyke.state import (
    Candidate,
    Counters,
    Distances,
    Location,
    PermitBook,
    PermitSources,
    Request,
    RunTimeStats,
    UpstreamSelector,
    UpstreamTable,
    WarmupLimiter,
    estimate_retry_after,
    is_admissible,
    record_run_time,
    wait_share_of,
)
from standins.clock import ManualClock
from standins.records import make_route, make_upstream

REGIONS = {'pnw-a': 'pnw', 'pnw-b': 'pnw', 'nc-a': 'nc', 'nc-b': 'nc'}
MS = timedelta(milliseconds=1)


class _Testbed:
    """The upstreams and the selector of one instance in a zone."""

    def __init__(self, zone: str = 'nc-a') -> None:
        self.clock = ManualClock()
        self.upstreams = UpstreamTable(self.clock)
        self.times = RunTimeStats()
        self.selector = UpstreamSelector(
            self.upstreams,
            self.times,
            Location(zone, REGIONS[zone], REGIONS),
            Distances(),
            PermitSources(
                WarmupLimiter('edge-1', self.clock),
                PermitBook(self.clock, Counters()),
            ),
            cold_rate=lambda service: 7.1,
            instances=lambda: 4,
        )

    def add(self, zone: str, count: int, **changes: object) -> list[str]:
        """Adds upstreams of a zone; returns their names."""
        names = [f'{zone}-{at}' for at in range(count)]
        for name in names:
            self.upstreams.apply(make_upstream(name, zone=zone, **changes))
        return names

    def select(self, object_key: str = 'x') -> Candidate:
        """Returns the candidate for a request; there must be one."""
        candidate = self.selector.choose(self.request(object_key))
        assert candidate is not None
        return candidate

    def request(self, object_key: str) -> Request:
        """Returns a request for an object."""
        return Request(
            make_route('/', RoutePart('desk', 1)), 'desk', object_key
        )


def test_requests_for_one_object_meet_at_one_upstream_of_a_zone() -> None:
    """All instances of a zone agree; the objects spread over its upstreams."""
    testbeds = [_Testbed() for _ in range(3)]
    for testbed in testbeds:
        testbed.add('nc-a', 5)
        testbed.add('nc-b', 5)
    chosen = {
        object_key: {
            each.select(object_key).state.record.name for each in testbeds
        }
        for object_key in map(str, range(40))
    }
    assert all(len(names) == 1 for names in chosen.values())
    assert len(set.union(*chosen.values())) == 5


def test_small_zones_of_a_region_form_one_pool() -> None:
    """Both zones select the same upstream for an object."""
    testbeds = [_Testbed('pnw-a'), _Testbed('pnw-b')]
    for testbed in testbeds:
        testbed.add('pnw-a', 1)
        testbed.add('pnw-b', 1)
    for object_key in map(str, range(20)):
        names = {each.select(object_key).state.record.name for each in testbeds}
        assert len(names) == 1


def test_an_object_stays_at_its_home_whatever_the_queue() -> None:
    """Elsewhere it would evict several known objects."""
    testbed = _Testbed()
    testbed.add('nc-a', 5)
    testbed.add('nc-b', 5)
    home = testbed.select().state
    for _ in range(30):
        home.begin_request('x')
    assert testbed.select().state is home


def test_a_request_that_would_end_late_has_no_room() -> None:
    """A request is admitted to a free slot or a short queue only."""
    testbed = _Testbed()
    testbed.add('nc-a', 1)
    request = testbed.request('x')
    home = testbed.select().state
    assert is_admissible(request, testbed.select(), timedelta())
    assert is_admissible(request, testbed.select(), timedelta(hours=1))
    for _ in range(4):
        home.begin_request('x')
    assert is_admissible(request, testbed.select(), timedelta())
    for _ in range(8):
        home.begin_request('x')
    assert not is_admissible(request, testbed.select(), timedelta())


def test_less_urgent_requests_are_refused_at_shorter_queues() -> None:
    """Capacity is left for more urgent requests of the service."""
    testbed = _Testbed()
    testbed.add('nc-a', 1)
    home = testbed.select().state
    admitted = {0: 0, 1: 0}
    for _ in range(12):
        for rank in admitted:
            request = testbed.request('x')._replace(
                wait_share=wait_share_of(rank)
            )
            admitted[rank] += is_admissible(
                request, testbed.select(), timedelta()
            )
        home.begin_request('x')
    assert admitted[0] > admitted[1] >= 3


def test_refused_requests_return_spread_and_not_at_once() -> None:
    """Requests refused at the same time get different retry times."""
    testbed = _Testbed()
    testbed.add('nc-a', 1)
    home = testbed.select().state
    for _ in range(20):
        home.begin_request('x')
    request = testbed.request('x')
    times = {estimate_retry_after(request, testbed.select()) for _ in range(50)}
    assert len(times) > 40
    assert min(times) >= 75 * MS
    assert max(times) <= timedelta(seconds=2)


def test_leaving_upstreams_and_cleared_zones_get_nothing() -> None:
    """They are never selected, even if no other upstream is left."""
    testbed = _Testbed()
    testbed.add('nc-a', 2, leaving=True)
    testbed.add('nc-b', 2)
    testbed.upstreams.evacuated_zones = frozenset(('nc-b',))
    assert testbed.selector.choose(testbed.request('x')) is None


def test_homes_of_a_route_bind() -> None:
    """A route with home regions runs only there."""
    testbed = _Testbed()
    testbed.add('nc-a', 3)
    bound = make_route('/', homes=frozenset(('pnw',)))
    request = Request(bound, 'desk', 'x')
    assert testbed.selector.choose(request) is None
    testbed.add('pnw-b', 1)
    candidate = testbed.selector.choose(request)
    assert candidate is not None
    assert candidate.state.record.zone == 'pnw-b'


def test_an_upstream_that_fails_is_left_out_and_tried_again() -> None:
    """Three consecutive failures exclude an upstream for a while."""
    testbed = _Testbed()
    testbed.add('nc-a', 2)
    first = testbed.select().state
    for _ in range(3):
        first.record_failure()
    assert testbed.select().state is not first
    testbed.clock.advance(5)
    assert testbed.select().state is first


def test_a_lost_upstream_waits_for_its_record() -> None:
    """Time alone brings back no upstream that did not listen; a record does."""
    testbed = _Testbed()
    testbed.add('nc-a', 2)
    lost = testbed.select().state
    lost.mark_lost()
    testbed.clock.advance(60)
    assert testbed.select().state is not lost
    testbed.upstreams.apply(
        make_upstream(lost.record.name, zone='nc-a', born=2)
    )
    assert testbed.select().state is lost


def test_a_slow_upstream_is_relieved_and_comes_back() -> None:
    """An upstream several times slower than others gets no requests."""
    testbed = _Testbed()
    testbed.add('nc-a', 4)
    candidate = testbed.select()
    request = testbed.request('x')
    for _ in range(30):
        record_run_time(testbed.times, request, candidate, 80 * MS)
    for _ in range(40):
        candidate.state.record_slowness(2000 * MS, 80 * MS)
    assert testbed.select().state is not candidate.state
    testbed.clock.advance(30)
    assert testbed.select().state is candidate.state


def test_known_and_unknown_runs_are_told_apart() -> None:
    """Both means converge to their samples, whichever comes first."""
    testbed = _Testbed()
    testbed.add('nc-a', 1)
    candidate = testbed.select()
    request = testbed.request('x')
    for at in range(200):
        took = 240 * MS if at % 4 == 0 else 72 * MS
        record_run_time(testbed.times, request, candidate, took)
    times = testbed.times.of_route(request.route, 'desk')
    assert abs(times.cold - 240 * MS) < 25 * MS
    assert abs(times.warm - 72 * MS) < 10 * MS


def test_cold_upstream_gets_only_its_turns() -> None:
    """A cold upstream is selected only when a send permit is due."""
    testbed = _Testbed()
    testbed.add('nc-a', 1, cold=timedelta(seconds=3))
    request = testbed.request('x')
    sent = 0
    for _ in range(100):
        candidate = testbed.selector.choose(request)
        if candidate is not None:
            testbed.selector.acquire_permits(request, candidate.state)
            sent += 1
        testbed.clock.advance(0.01)
    assert sent <= 2
