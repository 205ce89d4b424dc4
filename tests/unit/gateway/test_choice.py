"""Where a request is sent: known objects, queues, cold and failing ones."""

from datetime import timedelta

from lycheedyke.protocol import RoutePart
from lycheedyke.state import (
    Candidate,
    Distances,
    Location,
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


class _Setting:
    """A fleet and the choice of one instance in a zone."""

    def __init__(self, zone: str = 'nc-a') -> None:
        self.clock = ManualClock()
        self.fleet = UpstreamTable(self.clock)
        self.times = RunTimeStats()
        self.choice = UpstreamSelector(
            self.fleet,
            self.times,
            Location(zone, REGIONS[zone], REGIONS),
            Distances(),
            WarmupLimiter('edge-1', self.clock),
            cold_rate=lambda service: 7.1,
            instances=lambda: 4,
        )

    def add(self, zone: str, count: int, **changes: object) -> list[str]:
        """Adds upstreams of a zone; returns their names."""
        names = [f'{zone}-{at}' for at in range(count)]
        for name in names:
            self.fleet.apply(make_upstream(name, zone=zone, **changes))
        return names

    def pick(self, thing: str = 'x') -> Candidate:
        """Returns the pick for a request; there must be one."""
        pick = self.choice.choose(self.request(thing))
        assert pick is not None
        return pick

    def request(self, thing: str) -> Request:
        """Returns a request for an object."""
        return Request(make_route('/', RoutePart('desk', 1)), 'desk', thing)


def test_requests_for_one_object_meet_at_one_upstream_of_a_zone() -> None:
    """All instances of a zone choose alike; objects spread over it."""
    settings = [_Setting() for _ in range(3)]
    for setting in settings:
        setting.add('nc-a', 5)
        setting.add('nc-b', 5)
    chosen = {
        thing: {each.pick(thing).state.record.name for each in settings}
        for thing in map(str, range(40))
    }
    assert all(len(names) == 1 for names in chosen.values())
    assert len(set.union(*chosen.values())) == 5


def test_small_zones_of_a_region_form_one_pool() -> None:
    """One upstream alone would not keep a zone's objects known."""
    settings = [_Setting('pnw-a'), _Setting('pnw-b')]
    for setting in settings:
        setting.add('pnw-a', 1)
        setting.add('pnw-b', 1)
    for thing in map(str, range(20)):
        names = {each.pick(thing).state.record.name for each in settings}
        assert len(names) == 1


def test_an_object_stays_at_its_home_whatever_the_queue() -> None:
    """Elsewhere it would take the place of several known ones."""
    setting = _Setting()
    setting.add('nc-a', 5)
    setting.add('nc-b', 5)
    home = setting.pick().state
    for _ in range(30):
        home.begin_request('x')
    assert setting.pick().state is home


def test_a_request_that_would_end_late_has_no_room() -> None:
    """A short queue is let in, a long one only where a slot is free."""
    setting = _Setting()
    setting.add('nc-a', 1)
    request = setting.request('x')
    home = setting.pick().state
    assert is_admissible(request, setting.pick(), timedelta())
    assert is_admissible(request, setting.pick(), timedelta(hours=1))
    for _ in range(4):
        home.begin_request('x')
    assert is_admissible(request, setting.pick(), timedelta())
    for _ in range(8):
        home.begin_request('x')
    assert not is_admissible(request, setting.pick(), timedelta())


def test_less_urgent_requests_are_refused_at_shorter_queues() -> None:
    """Room is left for the more urgent ones of the service."""
    setting = _Setting()
    setting.add('nc-a', 1)
    home = setting.pick().state
    let_in = {0: 0, 1: 0}
    for _ in range(12):
        for rank in let_in:
            request = setting.request('x')._replace(
                wait_share=wait_share_of(rank)
            )
            let_in[rank] += is_admissible(request, setting.pick(), timedelta())
        home.begin_request('x')
    assert let_in[0] > let_in[1] >= 3


def test_refused_requests_return_spread_and_not_at_once() -> None:
    """Those that were refused together do not come back together."""
    setting = _Setting()
    setting.add('nc-a', 1)
    home = setting.pick().state
    for _ in range(20):
        home.begin_request('x')
    request = setting.request('x')
    times = {estimate_retry_after(request, setting.pick()) for _ in range(50)}
    assert len(times) > 40
    assert min(times) >= 75 * MS
    assert max(times) <= timedelta(seconds=2)


def test_leaving_upstreams_and_cleared_zones_get_nothing() -> None:
    """No load makes them eligible again."""
    setting = _Setting()
    setting.add('nc-a', 2, leaving=True)
    setting.add('nc-b', 2)
    setting.fleet.evacuated_zones = frozenset(('nc-b',))
    assert setting.choice.choose(setting.request('x')) is None


def test_homes_of_a_route_bind() -> None:
    """A route with homes runs there or not at all."""
    setting = _Setting()
    setting.add('nc-a', 3)
    bound = make_route('/', homes=frozenset(('pnw',)))
    request = Request(bound, 'desk', 'x')
    assert setting.choice.choose(request) is None
    setting.add('pnw-b', 1)
    pick = setting.choice.choose(request)
    assert pick is not None
    assert pick.state.record.zone == 'pnw-b'


def test_an_upstream_that_fails_is_left_out_and_tried_again() -> None:
    """Three failures in a row take it out for a while."""
    setting = _Setting()
    setting.add('nc-a', 2)
    first = setting.pick().state
    for _ in range(3):
        first.record_failure()
    assert setting.pick().state is not first
    setting.clock.pass_time(5)
    assert setting.pick().state is first


def test_a_lost_upstream_waits_for_its_record() -> None:
    """Where nothing listened, only the registry says that it lives."""
    setting = _Setting()
    setting.add('nc-a', 2)
    lost = setting.pick().state
    lost.mark_lost()
    setting.clock.pass_time(60)
    assert setting.pick().state is not lost
    setting.fleet.apply(make_upstream(lost.record.name, zone='nc-a', born=2))
    assert setting.pick().state is lost


def test_a_slow_upstream_is_relieved_and_comes_back() -> None:
    """One that takes several times as long loses its requests."""
    setting = _Setting()
    setting.add('nc-a', 4)
    pick = setting.pick()
    request = setting.request('x')
    for _ in range(30):
        record_run_time(setting.times, request, pick, 80 * MS)
    for _ in range(40):
        pick.state.record_slowness(2000 * MS, 80 * MS)
    assert setting.pick().state is not pick.state
    setting.clock.pass_time(30)
    assert setting.pick().state is pick.state


def test_known_and_unknown_runs_are_told_apart() -> None:
    """Means of both kinds follow the samples, whichever comes first."""
    setting = _Setting()
    setting.add('nc-a', 1)
    pick = setting.pick()
    request = setting.request('x')
    for at in range(200):
        took = 240 * MS if at % 4 == 0 else 72 * MS
        record_run_time(setting.times, request, pick, took)
    times = setting.times.of_route(request.route, 'desk')
    assert abs(times.cold - 240 * MS) < 25 * MS
    assert abs(times.warm - 72 * MS) < 10 * MS


def test_cold_upstream_gets_only_its_turns() -> None:
    """A cold upstream is chosen in this instance's turns, if at all."""
    setting = _Setting()
    setting.add('nc-a', 1, cold=timedelta(seconds=3))
    request = setting.request('x')
    sent = 0
    for _ in range(100):
        pick = setting.choice.choose(request)
        if pick is not None:
            setting.choice.acquire_permit(pick.state)
            sent += 1
        setting.clock.pass_time(0.01)
    assert sent <= 2
