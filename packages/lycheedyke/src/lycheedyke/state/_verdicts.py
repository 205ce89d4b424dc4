"""How a request is treated that may crash the upstreams that run it."""

from enum import IntEnum
from typing import NamedTuple


class Verdict(IntEnum):
    """The treatment of a request; a stricter one is greater."""

    clear = 0
    # It runs apart from the other requests of the instance.
    suspect = 1
    # It runs only as a trial, once at a time among all instances.
    probation = 2
    quarantined = 3


class SettledQuarantine(NamedTuple):
    """A quarantine that is to outlast the instances.

    Attributes:
        fingerprint: the digest of the request, in hex.
        is_first_hand: whether this instance observed one of the crashes.
    """

    fingerprint: str
    is_first_hand: bool


class Judgement(NamedTuple):
    """A verdict, and the digest of the request that it is based on."""

    verdict: Verdict
    fingerprint: str
