"""Guarantees each kind of request and each tenant a part of the service."""

import random
from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.state._bounded import keep_recent
from lycheedyke.state.fairness._decay import DecayingSum

# The guaranteed part of the common rate. It is above the required quarter, as
# upstreams refuse some of what is admitted.
GUARANTEED_PART = 0.27
MAX_NAMES = 512
RATE_TIME = timedelta(seconds=5)
MAX_CREDIT = 2.0
# How far a credit may fall while more than the guaranteed part is served. A
# tenant's may fall further: what it got before others noticed that it exceeds
# its share counts as part of what it is guaranteed.
LEAST_OF_KIND = -1.0
LEAST_OF_TENANT = -4.0


class Claim(NamedTuple):
    """On whose behalf a request claims a guaranteed part.

    Attributes:
        kind: the name of its route; '' if that claims nothing.
        tenant: the name of its tenant, '' without one.
    """

    kind: str
    tenant: str


class _Credits:
    def __init__(self, least: float) -> None:
        self._least = least
        self._credits: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._credits)

    def add(self, name: str, amount: float) -> None:
        if not name:
            return
        credit = self._credits.get(name)
        if credit is None:
            credit = random.random()
        credit = max(self._least, min(MAX_CREDIT, credit + amount))
        keep_recent(self._credits, name, credit, MAX_NAMES)

    def is_due(self, name: str) -> bool:
        return self._credits.get(name, 0) >= 1


class MinimumShare:
    """Tells which requests are due, as too few of their kind were served.

    For each request, its kind and its tenant gain the guaranteed part of the
    common rate as credit, and they spend 1 for each request that is admitted.
    Credits start at random, so that many instances which see few requests
    each admit the guaranteed part of all requests together.
    """

    def __init__(self) -> None:
        """Initializes without credits."""
        self._asked = DecayingSum(RATE_TIME)
        self._admitted = DecayingSum(RATE_TIME)
        self._kinds = _Credits(LEAST_OF_KIND)
        self._tenants = _Credits(LEAST_OF_TENANT)

    def __repr__(self) -> str:
        """Returns the numbers of kinds and tenants."""
        return f'<MinimumShare of {len(self._kinds)}, {len(self._tenants)}>'

    def record_arrival(self, claim: Claim, now: timedelta) -> None:
        """Records a request of a kind and a tenant."""
        self._asked.add(1, now)
        rate = min(1, self._admitted.at(now) / self._asked.at(now))
        self._add(claim, GUARANTEED_PART * rate)

    def is_due(self, claim: Claim) -> bool:
        """Returns whether a request is needed for a guaranteed part."""
        is_kind_due = self._kinds.is_due(claim.kind)
        return is_kind_due or self._tenants.is_due(claim.tenant)

    def record_admission(self, claim: Claim, now: timedelta) -> None:
        """Records that a request was admitted."""
        self._admitted.add(1, now)
        self._add(claim, -1)

    def return_admission(self, claim: Claim) -> None:
        """Records that a request did not run although it was admitted."""
        self._add(claim, 1)

    def _add(self, claim: Claim, amount: float) -> None:
        self._kinds.add(claim.kind, amount)
        self._tenants.add(claim.tenant, amount)
