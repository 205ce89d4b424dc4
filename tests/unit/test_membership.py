"""Views of instances that join, die, freeze and are cut from each other."""

import itertools

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from standins.virtual import Process, World

PLACES = {'a0': 'norr-a', 'a1': 'norr-a', 'a2': 'norr-a', 'b0': 'syd-b'}
PLACES |= {'b1': 'syd-b', 'b2': 'syd-b'}
SEEDS = ['a0', 'b0', 'a1']
# The times within which views have to follow, in seconds.
AGREE = 20.0
GONE = 8.0
names = st.sampled_from(sorted(PLACES))
waits = st.sampled_from([0.1, 0.5, 1.0, 3.0, GONE, AGREE])
# Ways within a zone, and one between the zones.
PAIRS = [
    (one, other)
    for one, other in itertools.permutations(PLACES, 2)
    if PLACES[one] == PLACES[other] or (one, other) == ('a0', 'b0')
]


class MembershipMachine(RuleBasedStateMachine):
    """Instances of two zones against the oracle of who runs."""

    def __init__(self) -> None:
        """Starts all instances."""
        super().__init__()
        self.world = World()
        self.zones_cut = False
        self.deaths: dict[str, float] = {}
        self.woken: dict[str, float] = {}
        self.tickets: dict[tuple[str, str], int] = {}
        self.versions: dict[tuple[str, str], int] = {}
        for name in PLACES:
            self._start(name)
        self.changed = self.world.loop.now

    def teardown(self) -> None:
        """Heals all, waits, and looks for the same view everywhere."""
        self.heal()
        self.wait(AGREE)
        self.world.close()

    @rule(name=names)
    def toggle(self, name: str) -> None:
        """Starts an instance, or kills it; a new one has a new id."""
        if name in self.world.running:
            dead = self.world.kill(name)
            self.deaths[dead.info.incarnation] = self.world.loop.now
        else:
            self._start(name)
        self._change()

    @rule(name=names)
    def restart(self, name: str) -> None:
        """Replaces an instance by a new one at the same address."""
        if name in self.world.running:
            self.toggle(name)
        self.toggle(name)

    @rule(name=names)
    def leave(self, name: str) -> None:
        """Stops an instance as planned; its zone knows at once."""
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
        """Replaces a whole zone while the other takes it for dead."""
        members = [name for name in PLACES if PLACES[name] == zone]
        for name in members:
            if name in self.world.running:
                self.toggle(name)
        self.wait(GONE)
        for name in members:
            self.toggle(name)

    @rule(name=names, seconds=st.floats(0.6, 30), is_quiet=st.booleans())
    def freeze(self, name: str, seconds: float, is_quiet: bool) -> None:
        """Freezes an instance for a time; its view outlasts the pause."""
        process = self.world.running.get(name)
        if process is None or not process.awake.is_set():
            return
        if is_quiet:
            self.wait(AGREE)
        before = process.live if is_quiet else set()
        process.awake.clear()
        self._change()
        self.wait(seconds)
        process.awake.set()
        self.woken[name] = self.world.loop.now
        self._change()
        assert process.live >= before, 'peers dropped without asking them'

    @rule(pair=st.sampled_from(PAIRS), is_both=st.booleans(), wait=waits)
    def cut(self, pair: tuple[str, str], is_both: bool, wait: float) -> None:
        """Cuts one way or both ways between two instances."""
        self.world.cuts.add(pair)
        if is_both:
            self.world.cuts.add(pair[::-1])
        self._change()
        self.wait(wait)

    @rule(wait=waits)
    def cut_zones(self, wait: float) -> None:
        """Cuts all ways between the zones."""
        self.world.cuts |= {
            (one, other)
            for one, other in itertools.permutations(PLACES, 2)
            if PLACES[one] != PLACES[other]
        }
        self.zones_cut = True
        self._change()
        self.wait(wait)

    @precondition(lambda self: self.world.cuts)
    @rule()
    def heal(self) -> None:
        """Heals all cuts."""
        self.world.cuts.clear()
        self.zones_cut = False
        self._change()

    @rule(number=st.integers(0, 2**20), name=names)
    def replay(self, number: int, name: str) -> None:
        """Sends a recorded message again, to anyone."""
        recorded, target = self.world.recorded, self.world.running.get(name)
        if recorded and target is not None and target.awake.is_set():
            _, message = recorded[number % len(recorded)]
            self.world.call(lambda: target.answer(message))

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
        """Views hold nobody dead for long, and agree once it is quiet."""
        for process in self._awake():
            live = process.live
            self._check_dead(process, live)
            self._check_numbers(process)
            if self.world.loop.now - self.changed >= AGREE:
                self._check_agreement(process, live)

    def _check_dead(self, process: Process, live: set[str]) -> None:
        now = self.world.loop.now
        if now - self.woken.get(process.info.name, 0) < GONE:
            return
        kept = {
            incarnation: now - self.deaths[incarnation]
            for incarnation in live & set(self.deaths)
            if now - self.deaths[incarnation] > GONE
        }
        assert not kept, f'{process.info.incarnation} keeps {kept}'

    def _check_numbers(self, process: Process) -> None:
        own = process.info.incarnation
        for peer in process.members.live():
            pair = (own, peer.info.incarnation)
            assert peer.ticket >= self.tickets.get(pair, 0), pair
            self.tickets[pair] = peer.ticket
        for version in process.members._book.versions:
            pair = (own, version.zone)
            assert version.version >= self.versions.get(pair, 0), pair
            self.versions[pair] = version.version

    def _check_agreement(self, process: Process, live: set[str]) -> None:
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

    def _is_connected(self, one: Process, other: Process) -> bool:
        pair = (one.info.name, other.info.name)
        cut = {pair, pair[::-1]} & self.world.cuts
        return not cut and other.awake.is_set() and one.awake.is_set()

    def _others(self, process: Process) -> list[Process]:
        return [each for each in self.world.running.values() if each != process]

    def _awake(self) -> list[Process]:
        running = self.world.running.values()
        return [each for each in running if each.awake.is_set()]

    def _start(self, name: str) -> None:
        seeds = [*SEEDS, *PLACES]
        self.world.start(name, PLACES[name], seeds)

    def _change(self) -> None:
        self.changed = self.world.loop.now


MembershipMachine.TestCase.settings = settings(
    settings.default,
    max_examples=15,
    stateful_step_count=15,
    phases=[Phase.generate],
)
TestMembership = MembershipMachine.TestCase
