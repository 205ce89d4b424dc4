"""Tests the membership of instances that start, end, freeze and disconnect."""

import itertools

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from standins.membership_simulation import SimulatedInstance, SimulatedNetwork

ZONE_OF = {'a0': 'norr-a', 'a1': 'norr-a', 'a2': 'norr-a', 'b0': 'syd-b'}
ZONE_OF |= {'b1': 'syd-b', 'b2': 'syd-b'}
SEEDS = ['a0', 'b0', 'a1']
# The times within which the views must reflect a change.
AGREEMENT_SECONDS = 20.0
REMOVAL_SECONDS = 8.0
names = st.sampled_from(sorted(ZONE_OF))
waits = st.sampled_from(
    [0.1, 0.5, 1.0, 3.0, REMOVAL_SECONDS, AGREEMENT_SECONDS]
)
# The connections within a zone, and one between the zones.
CONNECTIONS = [
    (one, other)
    for one, other in itertools.permutations(ZONE_OF, 2)
    if ZONE_OF[one] == ZONE_OF[other] or (one, other) == ('a0', 'b0')
]


class MembershipMachine(RuleBasedStateMachine):
    """Compares the views of two zones' instances with what actually runs."""

    def __init__(self) -> None:
        """Starts all instances."""
        super().__init__()
        self.world = SimulatedNetwork()
        self.zones_cut = False
        self.ended: dict[str, float] = {}
        self.resumed: dict[str, float] = {}
        self.tickets: dict[tuple[str, str], int] = {}
        self.versions: dict[tuple[str, str], int] = {}
        for name in ZONE_OF:
            self._start(name)
        self.changed_at = self.world.loop.now

    def teardown(self) -> None:
        """Restores all connections, waits, and checks that all views agree."""
        self.heal()
        self.wait(AGREEMENT_SECONDS)
        self.world.close()

    @rule(name=names)
    def toggle(self, name: str) -> None:
        """Starts an instance, or kills it; a started one has a new incarnation."""
        if name in self.world.running:
            killed = self.world.kill(name)
            self.ended[killed.info.incarnation] = self.world.loop.now
        else:
            self._start(name)
        self._record_change()

    @rule(name=names)
    def restart(self, name: str) -> None:
        """Replaces an instance by a new one at the same address."""
        if name in self.world.running:
            self.toggle(name)
        self.toggle(name)

    @rule(name=names)
    def leave(self, name: str) -> None:
        """Stops an instance as planned; its zone knows that at once."""
        process = self.world.running.get(name)
        if process is None or not process.awake.is_set():
            return
        self.world.loop.run_until_complete(process.members.announce_stop())
        for other in self._others(process):
            is_same_zone = other.info.zone == process.info.zone
            if is_same_zone and self._is_connected(process, other):
                peer = other.members.find(process.info.incarnation)
                assert peer is None or peer.stopping, (other.info, peer)
        self.toggle(name)

    @rule(zone=st.sampled_from(['norr-a', 'syd-b']))
    def replace_zone(self, zone: str) -> None:
        """Replaces a whole zone after the other has removed it from its view."""
        members = [name for name in ZONE_OF if ZONE_OF[name] == zone]
        for name in members:
            if name in self.world.running:
                self.toggle(name)
        self.wait(REMOVAL_SECONDS)
        for name in members:
            self.toggle(name)

    @rule(name=names, seconds=st.floats(0.6, 30), is_quiet=st.booleans())
    def freeze(self, name: str, seconds: float, is_quiet: bool) -> None:
        """Freezes an instance for a time; it keeps its view over the pause."""
        process = self.world.running.get(name)
        if process is None or not process.awake.is_set():
            return
        if is_quiet:
            self.wait(AGREEMENT_SECONDS)
        before = process.live if is_quiet else set()
        process.awake.clear()
        self._record_change()
        self.wait(seconds)
        process.awake.set()
        self.resumed[name] = self.world.loop.now
        self._record_change()
        assert process.live >= before, 'peers dropped without a request to them'

    @rule(pair=st.sampled_from(CONNECTIONS), is_both=st.booleans(), wait=waits)
    def cut(self, pair: tuple[str, str], is_both: bool, wait: float) -> None:
        """Cuts the connection of two instances in one or both directions."""
        self.world.cuts.add(pair)
        if is_both:
            self.world.cuts.add(pair[::-1])
        self._record_change()
        self.wait(wait)

    @rule(wait=waits)
    def cut_zones(self, wait: float) -> None:
        """Cuts all connections between the zones."""
        self.world.cuts |= {
            (one, other)
            for one, other in itertools.permutations(ZONE_OF, 2)
            if ZONE_OF[one] != ZONE_OF[other]
        }
        self.zones_cut = True
        self._record_change()
        self.wait(wait)

    @precondition(lambda self: self.world.cuts)
    @rule()
    def heal(self) -> None:
        """Restores all connections."""
        self.world.cuts.clear()
        self.zones_cut = False
        self._record_change()

    @rule(number=st.integers(0, 2**20), name=names)
    def replay(self, number: int, name: str) -> None:
        """Sends a recorded message again, to any instance."""
        recorded, target = self.world.recorded, self.world.running.get(name)
        if recorded and target is not None and target.awake.is_set():
            _, message = recorded[number % len(recorded)]
            self.world.run_in_loop(lambda: target.handle_message(message))

    @rule(name=names)
    def adopt(self, name: str) -> None:
        """Raises the ticket in force at an instance."""
        if name in self.world.running:
            self.world.running[name].members.ticket += 1

    @rule(seconds=waits)
    def wait(self, seconds: float) -> None:
        """Lets time pass."""
        self.world.advance(seconds)
        self.views_follow()

    @invariant()
    def views_follow(self) -> None:
        """Views drop ended instances in time, and agree after quiet times."""
        for process in self._unfrozen():
            live = process.live
            self._check_ended(process, live)
            self._check_increase(process)
            if self.world.loop.now - self.changed_at >= AGREEMENT_SECONDS:
                self._check_agreement(process, live)

    def _check_ended(self, process: SimulatedInstance, live: set[str]) -> None:
        now = self.world.loop.now
        if now - self.resumed.get(process.info.name, 0) < REMOVAL_SECONDS:
            return
        kept = {
            incarnation: now - self.ended[incarnation]
            for incarnation in live & set(self.ended)
            if now - self.ended[incarnation] > REMOVAL_SECONDS
        }
        assert not kept, f'{process.info.incarnation} keeps {kept}'

    def _check_increase(self, process: SimulatedInstance) -> None:
        own = process.info.incarnation
        for peer in process.members.live():
            pair = (own, peer.info.incarnation)
            assert peer.ticket >= self.tickets.get(pair, 0), pair
            self.tickets[pair] = peer.ticket
        for version in process.members._directory.versions:
            pair = (own, version.zone)
            assert version.version >= self.versions.get(pair, 0), pair
            self.versions[pair] = version.version

    def _check_agreement(
        self, process: SimulatedInstance, live: set[str]
    ) -> None:
        for other in self._others(process):
            is_same_zone = other.info.zone == process.info.zone
            if not is_same_zone and self.world.cuts and not self.zones_cut:
                continue
            expected = self._is_connected(process, other)
            found = other.info.incarnation in live
            assert found == expected, (
                f'{process.info.incarnation} sees {other.info.incarnation}: '
                f'{found}, connected: {expected}'
            )

    def _is_connected(
        self, one: SimulatedInstance, other: SimulatedInstance
    ) -> bool:
        pair = (one.info.name, other.info.name)
        cut = {pair, pair[::-1]} & self.world.cuts
        return not cut and other.awake.is_set() and one.awake.is_set()

    def _others(self, process: SimulatedInstance) -> list[SimulatedInstance]:
        return [each for each in self.world.running.values() if each != process]

    def _unfrozen(self) -> list[SimulatedInstance]:
        running = self.world.running.values()
        return [each for each in running if each.awake.is_set()]

    def _start(self, name: str) -> None:
        seeds = [*SEEDS, *ZONE_OF]
        self.world.start(name, ZONE_OF[name], seeds)

    def _record_change(self) -> None:
        self.changed_at = self.world.loop.now


MembershipMachine.TestCase.settings = settings(
    settings.default,
    max_examples=15,
    stateful_step_count=15,
    phases=[Phase.generate],
)
TestMembership = MembershipMachine.TestCase
