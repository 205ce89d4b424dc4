"""Requests that crash upstreams, sent again through running instances."""

import asyncio
import itertools
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from lycheedyke.coordination import QuarantinePublisher
from lycheedyke.exceptions import PlatformUnreachable
from lycheedyke.protocol import QuarantineRecord
from lycheedyke.state import Suspects
from standins.clock import ManualClock
from standins.convictions import convict
from standins.crashing_service import POISON, CrashingService
from standins.gateway_testbed import GatewayTestbed, run_scenario

VICTIM = '/read/victim'
# Longer than an upstream runs until it crashes.
VICTIM_RUN_S = 0.02
UPSTREAMS = 6
# The users' bound: so long after the third crash, and so many requests.
STABLE_S = 4.0
MAX_RETRIES = 3
LIMIT_S = 20.0
POLL_S = 0.05
# How much later the report of one of two observers comes.
LATE_S = 0.041


async def _wait_for(condition: Callable[[], bool]) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + LIMIT_S
    while not condition():
        assert loop.time() < end, 'the condition never held'
        await asyncio.sleep(POLL_S)


async def _send_until_quarantined(platform: GatewayTestbed) -> None:
    """Sends the crashing request until the registry lists it."""
    loop = asyncio.get_running_loop()
    end = loop.time() + LIMIT_S
    while not _quarantined_in(platform):
        assert loop.time() < end, 'it was not quarantined'
        await platform.send(POISON)
        await asyncio.sleep(POLL_S)


def _quarantined_in(platform: GatewayTestbed) -> set[str]:
    return {key for key in platform.store.keys() if 'quarantine' in key}


# Guards against a crashing request that upstreams get again and again, once
# other upstreams have crashed beside it.
def test_other_crashes_do_not_let_a_crashing_request_run_again(
    tmp_path: Path,
) -> None:
    """Its caller goes on sending it, at every instance."""

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform)
        loop = asyncio.get_running_loop()
        await platform.send(POISON)
        for upstream in platform.upstreams:
            upstream.script.append('crash')
        for at in range(UPSTREAMS):
            await platform.send(f'/read/{at}', object_key=str(at))
        third = sorted(service.crashes)[2]
        for at in itertools.count():
            if loop.time() > third + STABLE_S + 6:
                break
            await platform.send(POISON, instance=at % 2, object_key=str(at))
            await asyncio.sleep(0.4)
        assert service.count_poison_after(third + STABLE_S) <= MAX_RETRIES
        for upstream in platform.upstreams:
            upstream.script.clear()
        assert (await platform.send('/read/1')).status == 200
        await service.close()

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=UPSTREAMS, instances=2)


# Guards against a crashing request that an instance runs because it was cut
# off, or had not started, when the others were told.
def test_a_quarantine_reaches_instances_that_no_peer_told(
    tmp_path: Path,
) -> None:
    """Reports are lost, and a third instance starts later."""

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform)
        for instance in platform.instances:
            instance._peer_updates.send = _lose  # type: ignore[method-assign]
        await _send_until_quarantined(platform)
        await platform.start('edge-9')
        known = platform.instances[1]._guard._suspects
        await _wait_for(lambda: bool(known._registered))
        before = service.count_poison_after(0)
        for at in range(3):
            reply = await platform.send(POISON, instance=at)
            assert (reply.status, reply.body) == (503, b'quarantined')
        assert service.count_poison_after(0) == before
        await service.close()

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=UPSTREAMS, instances=2)


async def _lose(address: str, path: str, body: bytes) -> bytes | None:
    """Sends nothing."""
    return None


# Guards against a sound request that is refused as quarantined, because the
# report of the request that crashed its upstreams comes after its own.
def test_a_sound_request_is_not_refused_before_all_reports_are_in(
    tmp_path: Path,
) -> None:
    """Two instances send a suspect each to the same upstreams."""

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform)
        for upstream in platform.upstreams:
            upstream.run_of_path = lambda _: VICTIM_RUN_S
        await platform.wait_all_listed()
        updates = platform.instances[0]._peer_updates
        send = updates.send
        sent = itertools.count(1)

        async def _send_late(
            address: str, path: str, body: bytes
        ) -> bytes | None:
            if next(sent) > 1:
                await asyncio.sleep(LATE_S)
            return await send(address, path, body)

        updates.send = _send_late  # type: ignore[method-assign]
        cause = asyncio.create_task(platform.send(POISON, instance=0))
        assert (await platform.send(VICTIM, instance=1)).status == 502
        assert not cause.done()
        assert len(service.crashes) == 2
        again = asyncio.create_task(platform.send(VICTIM, instance=1))
        await asyncio.sleep(LATE_S / 4)
        # It takes no room at an upstream while it waits.
        table = platform.instances[1]._upstream_table
        assert not any(state.in_flight for state in table.all())
        assert (await again).status == 200
        assert (await cause).status == 502
        assert next(sent) > 2
        await service.close()

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=UPSTREAMS, instances=2)


# Guards against a quarantine that ends because all instances start again.
def test_a_quarantine_outlasts_all_instances(tmp_path: Path) -> None:
    """The registry keeps it until its lease ends."""

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform)
        await _send_until_quarantined(platform)
        before = service.count_poison_after(0)
        await platform.instances.pop().stop()
        platform.settings.pop()
        await platform.start('edge-0')
        assert (await platform.send(POISON)).body == b'quarantined'
        assert service.count_poison_after(0) == before
        (key,) = _quarantined_in(platform)
        platform.store.remove(key)
        suspects = platform.instances[0]._guard._suspects
        await _wait_for(lambda: not suspects._registered)
        assert (await platform.send(POISON)).status == 502
        await service.close()

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=UPSTREAMS)


class _Registry:
    """A registry that fails at first."""

    def __init__(self, failures: int) -> None:
        self.written: list[str] = []
        self._failures = failures

    async def quarantine(
        self, record: QuarantineRecord, ttl: timedelta
    ) -> None:
        """Writes a quarantine, or fails."""
        if self._failures:
            self._failures -= 1
            raise PlatformUnreachable('down')
        self.written.append(record.fingerprint)


def test_a_quarantine_is_written_once_and_after_a_failure_again() -> None:
    """The observer writes it; the others do so if it stays unlisted."""
    clock = ManualClock()
    observer, informed = Suspects(clock), Suspects(clock)
    convict(observer, clock, 'poison')
    informed.merge(observer.report())
    clock.advance(5)
    registry, backup = _Registry(failures=1), _Registry(failures=0)
    publishers = (
        QuarantinePublisher(registry, observer, clock),  # type: ignore[arg-type]
        QuarantinePublisher(backup, informed, clock),  # type: ignore[arg-type]
    )

    async def _publish() -> None:
        for publisher in publishers:
            await publisher.publish()

    asyncio.run(_publish())
    assert not registry.written
    assert not backup.written
    clock.advance(6)
    asyncio.run(_publish())
    assert registry.written == ['poison']
    observer.register('poison')
    informed.register('poison')
    clock.advance(60)
    asyncio.run(_publish())
    assert registry.written == ['poison']
    assert len(backup.written) <= 1
