"""The quota of a tenant holds whatever fails, and can be used in full."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheedyke.protocol import Tenant
from lycheedyke.state.rates import IssuerRanks
from standins.quota_scenes import allowed, longest_gap, most_in_window
from standins.quota_simulation import QuotaSimulation
from standins.virtual_time import run_in_virtual_time

WINDOW_S = 5
SETTLE_S = 3
SECONDS = 14
TENANT = 'tills'

Act = Callable[[QuotaSimulation, random.Random], Awaitable[None]]


def _simulate(
    seed: int,
    rate: float,
    burst: float,
    instances: int,
    work: Callable[[QuotaSimulation], Awaitable[None]],
) -> QuotaSimulation:
    world = QuotaSimulation(
        random.Random(seed), Tenant(TENANT, rate=rate, burst=burst), instances
    )

    async def _run() -> None:
        await world.open()
        await work(world)
        await world.close()

    run_in_virtual_time(_run(), settle_seconds=0)
    return world


def _first_issuer(world: QuotaSimulation) -> str:
    ranks = IssuerRanks()
    entries = [node.entry for node in world.nodes.values()]
    ranks.refresh(entries, world.bounds.window)
    return ranks.find(TENANT)[0].name


def _check_bound(world: QuotaSimulation) -> None:
    quota = world.tenant
    most = most_in_window(world.served)
    assert most <= allowed(quota.rate, quota.burst, WINDOW_S)


def _attainable(world: QuotaSimulation) -> float:
    """Returns the requests that a tenant can get in the time of a test.

    At low rates, no request may come for longer than the interval of the
    permits. Then it is what one schedule for all would let pass at once.
    """
    quota = world.tenant
    if quota.rate >= 10:
        return quota.rate * SECONDS
    passed = 0
    free_at = 0.0
    for at in sorted(world.arrivals):
        free_at = max(free_at, at - quota.burst / quota.rate, SETTLE_S)
        if free_at <= at:
            free_at += 1 / quota.rate
            passed += 1
    return passed


rates = st.sampled_from([1.0, 2.0, 10.0, 60.0, 200.0])
bursts = st.sampled_from([0.0, 5.0, 50.0, 200.0])
seeds = st.integers(0, 10_000)


# Guards against permits that lie unused at instances, and a quota that is
# issued more than once.
@settings(max_examples=15)
@given(seeds, rates, bursts, st.integers(1, 12), st.floats(1.3, 4))
def test_without_failures_the_quota_is_used_and_not_exceeded(
    seed: int, rate: float, burst: float, instances: int, demand: float
) -> None:
    """The callers of the tenant are at all instances."""

    async def _work(world: QuotaSimulation) -> None:
        await asyncio.sleep(SETTLE_S)
        await world.offer(
            rate * demand + 1, SECONDS, lambda: world.rng.choice([*world.nodes])
        )

    world = _simulate(seed, rate, burst, instances, _work)
    _check_bound(world)
    assert len(world.served) >= 0.9 * _attainable(world) - 1


# Guards against a quota that is divided among instances.
@settings(max_examples=10)
@given(seeds, rates, bursts, st.integers(2, 12))
def test_callers_who_move_use_the_whole_quota(
    seed: int, rate: float, burst: float, instances: int
) -> None:
    """All come to one instance, and move to the next one every two seconds."""

    async def _work(world: QuotaSimulation) -> None:
        await asyncio.sleep(SETTLE_S)
        await world.offer(
            rate * 2 + 1,
            SECONDS,
            lambda: f'edge-{int(world.now() / 2) % instances}',
        )

    world = _simulate(seed, rate, burst, instances, _work)
    _check_bound(world)
    assert len(world.served) >= 0.9 * _attainable(world) - 1


async def _kill(world: QuotaSimulation, name: str) -> None:
    world.nodes[name].kill()


async def _restart(world: QuotaSimulation, name: str) -> None:
    world.start(name)


async def _lose_power(world: QuotaSimulation, name: str) -> None:
    world.powerless.add(name)


async def _cut(world: QuotaSimulation, name: str) -> None:
    world.cut_off(name)


async def _cut_one_way(world: QuotaSimulation, name: str) -> None:
    world.cut_off(name, one_way=True)


async def _mend(world: QuotaSimulation, name: str) -> None:
    world.cuts.clear()
    world.powerless.clear()
    world.registry_down = False


async def _lose_registry(world: QuotaSimulation, name: str) -> None:
    world.registry_down = True


ACTS = (
    _kill,
    _restart,
    _lose_power,
    _cut,
    _cut_one_way,
    _mend,
    _lose_registry,
)
acts = st.lists(
    st.tuples(st.floats(0.1, 4), st.sampled_from(ACTS), st.integers(0, 3)),
    min_size=1,
    max_size=6,
)


# Guards against two issuers that both issue in full.
@settings(max_examples=40)
@given(seeds, rates, bursts, st.integers(3, 10), acts)
def test_no_failures_exceed_the_bound(
    seed: int,
    rate: float,
    burst: float,
    instances: int,
    planned: list[tuple[float, Callable[..., Awaitable[None]], int]],
) -> None:
    """Issuers and others are killed, restarted and cut off, more than once."""

    async def _work(world: QuotaSimulation) -> None:
        await asyncio.sleep(SETTLE_S)
        for pause, act, rank in planned:
            ranks = IssuerRanks()
            entries = [node.entry for node in world.nodes.values()]
            ranks.refresh(entries, world.bounds.window)
            found = ranks.find(TENANT)
            await world.offer(
                rate * 2 + 1, pause, lambda: world.rng.choice([*world.nodes])
            )
            await act(world, found[min(rank, len(found) - 1)].name)
        await world.offer(
            rate * 2 + 1, 6, lambda: world.rng.choice([*world.nodes])
        )

    _check_bound(_simulate(seed, rate, burst, instances, _work))


# Guards against a gap after the end of an issuer.
@pytest.mark.parametrize('rate', [10, 200])
@pytest.mark.parametrize('act', [_kill, _restart])
def test_another_issuer_takes_over_at_once(
    rate: float, act: Callable[..., Awaitable[None]]
) -> None:
    """A refused connection proves that the first one has ended."""

    async def _work(world: QuotaSimulation) -> None:
        await asyncio.sleep(SETTLE_S)
        first = _first_issuer(world)
        others = [name for name in world.nodes if name != first]
        await world.offer(rate * 2, 3, lambda: world.rng.choice(others))
        await act(world, first)
        await world.offer(rate * 2, 4, lambda: world.rng.choice(others))

    world = _simulate(1, rate, 0, 8, _work)
    _check_bound(world)
    assert longest_gap(world.served) < 0.5 + 0.3 + 3 / rate


# Guards against a quota that is lost for longer than the registry takes.
@pytest.mark.parametrize('act', [_cut, _lose_power])
def test_a_silent_issuer_is_replaced_once_it_is_not_listed(
    act: Callable[..., Awaitable[None]],
) -> None:
    """Until then the tolerance is issued."""

    async def _work(world: QuotaSimulation) -> None:
        await asyncio.sleep(SETTLE_S)
        first = _first_issuer(world)
        others = [name for name in world.nodes if name != first]
        await act(world, first)
        await world.offer(40, 15, lambda: world.rng.choice(others))

    world = _simulate(2, 20, 10, 8, _work)
    _check_bound(world)
    late = [at for at in world.served if at > SETTLE_S + 6]
    assert len(late) >= 0.9 * 20 * 9
    assert len(world.served) > len(late)


# Guards against an issuer that stays demoted after its links are back.
@pytest.mark.parametrize('registry_down', [False, True])
def test_an_issuer_that_was_cut_off_issues_again(registry_down: bool) -> None:
    """Also if the registry has listed it all the time."""

    async def _work(world: QuotaSimulation) -> None:
        await asyncio.sleep(SETTLE_S)
        first = _first_issuer(world)
        world.registry_down = registry_down
        await _cut(world, first)
        await world.offer(40, 8, lambda: world.rng.choice([*world.nodes]))
        await _mend(world, first)
        await world.offer(40, 12, lambda: world.rng.choice([*world.nodes]))

    world = _simulate(3, 20, 10, 8, _work)
    _check_bound(world)
    late = [at for at in world.served if at > SETTLE_S + 8 + 6]
    assert len(late) >= 0.9 * 20 * 6
