"""Upstreams that name limits, and checks on the requests that they get."""

import asyncio
import random
import time
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from bench.soak.echo_upstream import EchoUpstream
from bench.soak.load_generator import CallResult
from bench.soak.observations import STABLE_SECONDS, Observations
from bench.soak.testbed import Testbed
from standins.limit_scenes import WINDOW_S, allowed, most_in_window
from standins.scripted_upstream import REQUEST_ID

PAUSE_SECONDS = (0.2, 1.0)
LIMIT_SECONDS = (5.0, 10.0)
LIMITS = (0, 0.5, 2.2, 6, 20)
# How often all upstreams name a limit at the same time.
ALL_SHARE = 0.4
CHANGE_SHARE = 0.3
# The users' bound holds for instances that were told so long ago.
SLACK_SECONDS = 0.5


class _Limit(NamedTuple):
    rate: float
    started: float
    ended: float


async def name_limits(
    testbed: Testbed, seconds: float, rng: random.Random
) -> None:
    """Lets upstreams name limits, change them and end them."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(*PAUSE_SECONDS))
        limited = [
            each
            for each in testbed.upstreams
            if each.left_at is None and each.crashed_at is None
        ]
        if rng.random() >= ALL_SHARE:
            limited = rng.sample(limited, min(2, len(limited)))
        for upstream in limited:
            upstream.change_limit(rng.choice(LIMITS))
        await asyncio.sleep(rng.uniform(*LIMIT_SECONDS))
        if limited and rng.random() < CHANGE_SHARE:
            limited[0].change_limit(rng.choice(LIMITS))
            await asyncio.sleep(rng.uniform(*LIMIT_SECONDS))
        for upstream in limited:
            upstream.change_limit(None)


def find_limit_violations(observations: Observations) -> Iterator[str]:
    """Yields upstreams that got more than the limit that they had named."""
    results = {each.request: each for each in observations.results}
    for upstream in observations.upstreams:
        for limit in _find_limits(upstream):
            most = most_in_window(
                _find_bound(observations, results, upstream, limit)
            )
            if most > allowed(limit.rate):
                yield (
                    f'{upstream.name} named a limit of {limit.rate} a second '
                    f'and got {most} requests in {WINDOW_S:.0f} s; '
                    f'{allowed(limit.rate):.0f} are allowed'
                )


def _find_limits(upstream: EchoUpstream) -> Iterator[_Limit]:
    """Yields the limits and when each held, without changes in between."""
    changes = upstream.limits
    for at, (started, rate) in enumerate(changes):
        ended = (
            changes[at + 1][0] if at + 1 < len(changes) else time.monotonic()
        )
        if rate is not None:
            yield _Limit(rate, started, ended)


def _find_bound(
    observations: Observations,
    results: Mapping[str, CallResult],
    upstream: EchoUpstream,
    limit: _Limit,
) -> list[float]:
    """Returns the arrivals under a limit from instances that were told of it.

    Faults of an instance since it was told, and of its links, excuse it.

    Args:
        observations: the records of the run.
        results: the results of all calls by request id.
        upstream: the upstream.
        limit: the limit.
    """
    told_at: dict[str, float] = {}
    found: list[float] = []
    for arrival in upstream.arrivals:
        at = arrival.received_at
        call = results.get(arrival.headers[REQUEST_ID])
        is_later = limit.started <= at < limit.ended
        if call is None or not is_later or not upstream.accepts(arrival):
            continue
        if call.is_sealed:
            told = told_at.get(call.instance, call.ended)
            told_at[call.instance] = min(told, call.ended)
        told = told_at.get(call.instance, limit.ended)
        is_bound = at >= max(
            limit.started + STABLE_SECONDS, told + SLACK_SECONDS
        )
        if is_bound and not observations.is_excused(
            upstream.name, call.instance, told, at
        ):
            found.append(at)
    return found
