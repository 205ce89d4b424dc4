"""Evidence against crashing requests that outlasts the instances."""

import asyncio
import itertools
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path

import msgspec
import pytest

from lycheedyke.coordination import EvidencePublisher
from lycheedyke.exceptions import PlatformUnreachable
from lycheedyke.protocol import CrashNote, RegistryUpdate, SuspectRecord
from lycheedyke.state import StoredEvidence, Suspects, Verdict
from standins.clock import ManualClock
from standins.convictions import crash_trial
from standins.crashing_service import POISON, CrashingService
from standins.gateway_testbed import GatewayTestbed, run_scenario

LIMIT_S = 120
UPSTREAMS = 6
# Two crashes, then those of two trials.
CRASHES = 4
# From a crash to its record in the store.
WRITTEN_S = 0.3
PERIOD_S = 3.0
PLACES = 6


class _Registry:
    """Keeps records, and passes them on to instances."""

    def __init__(self) -> None:
        self.records: dict[str, SuspectRecord] = {}
        self.calls = 0
        self.is_down = False

    async def write_evidence(
        self,
        records: Sequence[SuspectRecord],
        cleared: Sequence[str],
        ttl: timedelta,
    ) -> None:
        """Writes records, or fails."""
        self.calls += 1
        if self.is_down:
            raise PlatformUnreachable('down')
        self.records.update({each.fingerprint: each for each in records})
        for fingerprint in cleared:
            self.records.pop(fingerprint)


class _Instance:
    """The suspects of one process, which reads the registry at its start."""

    def __init__(self, registry: _Registry, clock: ManualClock) -> None:
        self.suspects = Suspects(clock)
        self.evidence = StoredEvidence(self.suspects, clock)
        self.publisher = EvidencePublisher(
            registry,  # type: ignore[arg-type]
            self.evidence,
            clock,
        )
        self._registry = registry
        self._listed: set[str] = set()
        self.read()

    def read(self) -> None:
        """Reads the registry."""
        for fingerprint in self._listed - self._registry.records.keys():
            self.evidence.unregister(fingerprint)
        self._listed = set(self._registry.records)
        for record in self._registry.records.values():
            self.evidence.register(record)

    def publish(self) -> None:
        """Writes what is due, and reads it."""
        asyncio.run(self.publisher.publish())
        self.read()


# Guards against BUDGET: all processes ended, and the evidence with them.
def test_a_new_process_knows_what_others_saw() -> None:
    """The trials before count, and so does the time since the last."""
    registry, clock = _Registry(), ManualClock()
    first = _Instance(registry, clock)
    for upstream in ('a', 'b'):
        first.suspects.record_crash(['poison'], upstream)
    crash_trial(first.suspects, 'poison', 'c')
    first.publish()
    clock.advance(3)
    new = _Instance(registry, clock)
    assert new.suspects.judge('poison') is Verdict.probation
    assert timedelta(seconds=4) < new.suspects.trial_pause('poison')
    clock.advance(6)
    crash_trial(new.suspects, 'poison', 'd')
    assert new.suspects.judge('poison') is Verdict.quarantined


def test_evidence_is_written_once_the_registry_is_back() -> None:
    """It is kept meanwhile, and written no more often than it changes."""
    registry, clock = _Registry(), ManualClock()
    instance = _Instance(registry, clock)
    instance.suspects.record_crash(['poison'], 'a')
    instance.publish()
    assert not registry.records
    instance.suspects.record_crash(['poison'], 'b')
    registry.is_down = True
    instance.publish()
    registry.is_down = False
    for _ in range(20):
        instance.publish()
        clock.advance(1)
    assert registry.calls == 2
    assert len(registry.records['poison'].crashes) == 2


def test_evidence_that_a_copy_lacks_is_written_again() -> None:
    """Instances that know it from peers do so if the observer is gone."""
    registry, clock = _Registry(), ManualClock()
    observer = _Instance(registry, clock)
    for upstream in ('a', 'b'):
        observer.suspects.record_crash(['poison'], upstream)
    observer.publish()
    informed = _Instance(registry, clock)
    registry.records.clear()
    informed.evidence.unregister('poison')
    informed.publish()
    assert not registry.records
    clock.advance(21)
    informed.publish()
    assert set(registry.records) == {'poison'}


def test_the_observer_writes_again_at_once_after_a_return() -> None:
    """What the copy lacks is in effect for two seconds, but not listed."""
    registry, clock = _Registry(), ManualClock()
    observer = _Instance(registry, clock)
    for upstream in ('a', 'b'):
        observer.suspects.record_crash(['poison'], upstream)
    observer.publish()
    clock.advance(10)
    registry.records.clear()
    observer.evidence.doubt_records()
    asyncio.run(observer.publisher.publish())
    assert set(registry.records) == {'poison'}
    observer.publish()
    assert registry.calls == 2


# Guards against the refusal of sound requests that were in flight at crashes.
@pytest.mark.parametrize('is_restarted', [False, True])
def test_an_answer_removes_the_evidence(*, is_restarted: bool) -> None:
    """Two upstreams crashed by chance; the trial is answered."""
    registry, clock = _Registry(), ManualClock()
    instance = observer = _Instance(registry, clock)
    for upstream in ('a', 'b'):
        observer.suspects.record_crash(['sound'], upstream)
    observer.publish()
    if is_restarted:
        instance = _Instance(registry, clock)
    clock.advance(1)
    assert not instance.suspects.trial_pause('sound')
    instance.suspects.record_success('sound', is_trial=True)
    assert instance.suspects.judge('sound') is Verdict.clear
    instance.publish()
    clock.advance(21)
    instance.publish()
    assert not registry.records
    assert _Instance(registry, clock).suspects.judge('sound') is Verdict.clear


def test_a_record_that_comes_back_late_accuses_nobody_again() -> None:
    """The answer came while the record was on its way."""
    registry, clock = _Registry(), ManualClock()
    instance = _Instance(registry, clock)
    for upstream in ('a', 'b'):
        instance.suspects.record_crash(['sound'], upstream)
    asyncio.run(instance.publisher.publish())
    clock.advance(1)
    instance.suspects.record_success('sound', is_trial=True)
    clock.advance_wall_clock(-2)
    instance.read()
    assert instance.suspects.judge('sound') is Verdict.clear


def test_records_are_bounded_in_number() -> None:
    """A crash beside many requests writes a few records a call, and no more."""
    registry, clock = _Registry(), ManualClock()
    instance = _Instance(registry, clock)
    requests = [f'r-{at}' for at in range(200)]
    for upstream in ('a', 'b'):
        instance.suspects.record_crash(requests, upstream)
    for _ in range(30):
        instance.publish()
        clock.advance(1)
    assert len(registry.records) == 64
    assert registry.calls == 4


def test_evidence_ends() -> None:
    """Ten minutes after the last crash, also where the record stays."""
    registry, clock = _Registry(), ManualClock()
    instance = _Instance(registry, clock)
    for upstream in ('a', 'b'):
        instance.suspects.record_crash(['poison'], upstream)
    instance.publish()
    clock.advance(601)
    assert _Instance(registry, clock).suspects.judge('poison') is Verdict.clear
    instance.publish()
    assert registry.calls == 1


async def _restart(platform: GatewayTestbed, at: int) -> None:
    settings = platform.settings.pop(at)
    await platform.instances.pop(at).stop()
    await platform.start(settings.name)


async def _send_until(
    platform: GatewayTestbed, service: CrashingService, crashes: int
) -> None:
    """Sends the crashing request in turn until so many upstreams crashed."""
    loop = asyncio.get_running_loop()
    end = loop.time() + LIMIT_S / 3
    for at in itertools.count():
        if len(service.crashes) >= crashes or loop.time() > end:
            return
        instance = at % len(platform.instances)
        await platform.send(POISON, instance=instance, object_key=str(at))
        await asyncio.sleep(PERIOD_S / PLACES)


# Guards against BUDGET, in running instances: after the end of all processes the
# crashing request ended as many upstreams again.
@pytest.mark.parametrize('ends_after', [(2,), (3,), (2, 3)])
def test_the_end_of_all_processes_forgets_no_crash(
    tmp_path: Path, ends_after: tuple[int, ...]
) -> None:
    """They end a moment after a crash, once or twice."""

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform)
        for crashes in ends_after:
            await _send_until(platform, service, crashes)
            await asyncio.sleep(WRITTEN_S)
            await asyncio.gather(*(each.stop() for each in platform.instances))
            platform.instances.clear()
            names = [each.name for each in platform.settings]
            platform.settings.clear()
            for name in names:
                await platform.start(name)
        await _send_until(platform, service, CRASHES + 1)
        assert len(service.crashes) <= CRASHES
        assert (await platform.send('/read/1')).status == 200
        await service.close()

    run_scenario(
        tmp_path, _scene, limit_s=LIMIT_S, upstreams=UPSTREAMS, instances=2
    )


# Guards against BUDGET: instances that restart in turn knew only what the others
# had observed themselves.
def test_restarts_in_turn_forget_no_crash(tmp_path: Path) -> None:
    """Only the first instance has seen the one crash; it restarts first."""

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform, crashes_on='/order/1')
        await platform.wait_all_listed()
        await platform.send('/order/1', method='POST', body=b'x')
        await asyncio.sleep(1)
        known = [each._guard._suspects for each in platform.instances]
        assert len(service.crashes) == 1
        assert all(map(len, known))
        before = {each.fingerprint for each in known[0].report()}
        for _ in platform.instances:
            await _restart(platform, 0)
            await asyncio.sleep(1)
        for instance in platform.instances:
            told = instance._guard._suspects.report()
            assert {each.fingerprint for each in told} == before
        await service.close()

    run_scenario(
        tmp_path, _scene, limit_s=LIMIT_S, upstreams=UPSTREAMS, instances=3
    )


def test_days_without_a_crash_cost_no_call(tmp_path: Path) -> None:
    """Nothing is written for requests that end no upstream."""

    async def _scene(platform: GatewayTestbed) -> None:
        await asyncio.sleep(1)
        platform.store.calls.clear()
        for at in range(20):
            await platform.send(f'/read/{at}')
        await asyncio.sleep(3)
        assert '/kv-txn' not in platform.store.calls
        assert '/kv-lease' not in platform.store.calls

    run_scenario(tmp_path, _scene, limit_s=LIMIT_S)


# Guards against peers of earlier releases that can't decode a whole update.
@pytest.mark.parametrize('asks', [False, True])
def test_peers_get_the_records_that_they_ask_for(
    tmp_path: Path, *, asks: bool
) -> None:
    """Others get updates without them."""
    record = SuspectRecord('ab', (CrashNote('u@1', 1),), 2)

    async def _scene(platform: GatewayTestbed) -> None:
        content = msgspec.json.encode(record)
        platform.store.put('lycheedyke/suspects/ab', content)
        await asyncio.sleep(1)
        address = platform.settings[0].peer_address
        query = '&suspects=1' if asks else ''
        reply = await platform.get(address, f'/v1/news?after=0{query}')
        update = msgspec.msgpack.decode(reply.body, type=RegistryUpdate)
        records = [item.record for item in update.batch.items]
        assert (record in records) is asks
        assert len(records) > 1

    run_scenario(tmp_path, _scene, limit_s=LIMIT_S)
