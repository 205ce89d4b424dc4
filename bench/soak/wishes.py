"""Upstreams that ask for pauses, and checks on what they have said."""

import asyncio
import random
import time
from collections.abc import Iterator, Mapping

from bench.soak.echo_upstream import PAUSE_SECONDS, EchoUpstream, Wish
from bench.soak.load_generator import CallResult
from bench.soak.observations import Observations
from bench.soak.testbed import Testbed
from standins.scripted_upstream import REQUEST_ID

ASK_SECONDS = (0.1, 0.5)
# The users' bounds: requests of one instance to an upstream that it has heard.
DRAIN_SECONDS = 3.0
PAUSE_SLACK_SECONDS = 0.5
MAX_IN_PAUSE = 2


async def ask_for_pauses(
    testbed: Testbed, seconds: float, rng: random.Random
) -> None:
    """Lets upstreams refuse their next request and ask for a pause."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(*ASK_SECONDS))
        rng.choice(testbed.upstreams).script.append('pause')


def find_wish_violations(observations: Observations) -> Iterator[str]:
    """Yields the wishes that an instance has not heeded."""
    results = {each.request: each for each in observations.results}
    for upstream in observations.upstreams:
        for wish in upstream.farewells:
            if not _is_passed_on(results, wish):
                continue
            late = sum(
                call.sent > wish.told + DRAIN_SECONDS
                for call, _ in _find_later(
                    observations, results, upstream, wish
                )
            )
            if late:
                yield f'{late} requests to {upstream.name}, which leaves'
        for wish in upstream.pauses:
            count = sum(
                PAUSE_SLACK_SECONDS < arrived - wish.told < PAUSE_SECONDS
                for _, arrived in _find_later(
                    observations, results, upstream, wish
                )
            )
            if count > MAX_IN_PAUSE:
                yield f'{count} requests to {upstream.name} in its pause'


def _is_passed_on(results: Mapping[str, CallResult], wish: Wish) -> bool:
    """Returns whether the caller got the answer that told a wish."""
    told = results.get(wish.request)
    return told is not None and told.is_sealed


def _find_later(
    observations: Observations,
    results: Mapping[str, CallResult],
    upstream: EchoUpstream,
    wish: Wish,
) -> Iterator[tuple[CallResult, float]]:
    """Yields later requests to an upstream from the instance that it told.

    Faults of the instance or of the link between them excuse it.

    Args:
        observations: the records of the run.
        results: the results of all calls by request id.
        upstream: the upstream.
        wish: what it said to the instance.

    Yields:
        The call, and when its request arrived.
    """
    told = results.get(wish.request)
    # An instance that had given up by then has not read it.
    if told is None or not told.status or told.ended < wish.told:
        return
    for arrival in upstream.arrivals:
        arrived = arrival.received_at
        call = results.get(arrival.headers[REQUEST_ID])
        if call is None or call.instance != told.instance:
            continue
        if arrived <= wish.told or not upstream.accepts(arrival):
            continue
        if not observations.is_excused(
            upstream.name, told.instance, wish.told, arrived
        ):
            yield call, arrived
