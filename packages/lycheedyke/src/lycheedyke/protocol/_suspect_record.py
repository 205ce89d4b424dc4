"""The registry's record of a request that may crash upstreams."""

import msgspec


class CrashNote(msgspec.Struct, frozen=True, array_like=True):
    """The crash of an upstream at which a request was in flight.

    Attributes:
        upstream: the name of the upstream's incarnation.
        at_ms: when it was observed, in Unix milliseconds.
        is_trial: whether the request ran there as a trial.
        callers: the digests of the callers whose requests were in flight;
            empty if they are part of the request's own digest.
    """

    upstream: str
    at_ms: int
    is_trial: bool = False
    callers: tuple[str, ...] = ()


class SuspectRecord(msgspec.Struct, frozen=True, tag='suspect'):
    """The evidence against a request, which outlasts the instances.

    Attributes:
        fingerprint: the digest that equal requests share, in hex; those of
            one caller, or of all.
        crashes: the crashes, by time.
        expires_ms: when the evidence expires, in Unix milliseconds.
    """

    fingerprint: str
    crashes: tuple[CrashNote, ...]
    expires_ms: int
