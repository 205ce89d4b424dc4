"""Checks on requests that crash upstreams, and on the others beside them."""

from collections.abc import Iterator

from bench.soak.observations import STABLE_SECONDS, Observations

# So many crashes condemn a request; so many retries may reach upstreams after
# that.
CONDEMNING_CRASHES = 3
MAX_LATE_RETRIES = 3
QUARANTINED = 'quarantined'


def find_crash_violations(observations: Observations) -> Iterator[str]:
    """Yields violations around requests that crash upstreams."""
    yield from _find_late_retries(observations)
    yield from _find_wrong_quarantines(observations)


def _find_late_retries(observations: Observations) -> Iterator[str]:
    """Yields the crashing request if upstreams received it for too long.

    Instances that are not in touch and links that were harmed excuse it.
    """
    crashes = sorted(
        upstream.crashed_at
        for upstream in observations.upstreams
        if upstream.crashed_at is not None
        and upstream.arrivals_at(observations.crashing_path)
    )
    if len(crashes) < CONDEMNING_CRASHES:
        return
    bound = crashes[CONDEMNING_CRASHES - 1] + STABLE_SECONDS
    senders = {each.request: each.instance for each in observations.results}
    late = [
        f'{upstream.name} at {arrival.received_at - bound:.1f} s from {sender}'
        for upstream in observations.upstreams
        for arrival in upstream.arrivals_at(observations.crashing_path)
        if arrival.received_at > bound
        and observations.is_in_touch(
            sender := senders.get(
                arrival.headers['Lycheedyke-Request-Id'], 'no instance'
            ),
            arrival.received_at,
        )
        and not observations.is_held_up(upstream.name, arrival.received_at)
    ]
    if len(late) > MAX_LATE_RETRIES:
        yield (
            f'the crashing request reached upstreams {len(late)} times '
            f'later than {STABLE_SECONDS:g} s after its third crash: '
            f'{", ".join(late)}'
        )


def _find_wrong_quarantines(observations: Observations) -> Iterator[str]:
    """Yields requests that crash nothing and were refused as if they did."""
    for result in observations.results:
        if (
            result.reason == QUARANTINED
            and result.path != observations.crashing_path
        ):
            yield f'{result.request} to {result.path} was quarantined'
