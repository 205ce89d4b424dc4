"""The three outcomes of a request, and the reasons for the last two."""

from datetime import timedelta
from enum import Enum

import msgspec

OUTCOME_HEADER = 'Lycheedyke-Outcome'
REASON_HEADER = 'Lycheedyke-Reason'
KEY_HEADER = 'Idempotency-Key'
REMAINING_HEADER = 'Lycheedyke-Remaining-Ms'
CLIENT_HEADER = 'Lycheedyke-Client'
ATTEMPT_HEADER = 'Lycheedyke-Attempt'
LEAVING_HEADER = 'Lycheedyke-Leaving'


class Reason(Enum):
    """Why a request has no response; there is a counter for each reason."""

    bad_request = 'bad-request'
    unknown_service = 'unknown-service'
    unknown_route = 'unknown-route'
    unreadable_route = 'unreadable-route'
    unknown_key = 'unknown-key'
    quota_exceeded = 'quota-exceeded'
    no_quota_known = 'no-quota-known'
    not_ready = 'not-ready'
    stopping = 'stopping'
    key_missing = 'key-missing'
    key_malformed = 'key-malformed'
    key_expired = 'key-expired'
    key_too_long_lived = 'key-too-long-lived'
    key_memory_full = 'key-memory-full'
    key_reused = 'key-reused'
    home_gone = 'home-gone'
    home_unreachable = 'home-unreachable'
    no_upstream = 'no-upstream'
    no_owner = 'no-owner'
    no_room = 'no-room'
    slots_reserved = 'slots-reserved'
    too_late = 'too-late'
    over_share = 'over-share'
    queue_full = 'queue-full'
    displaced = 'displaced'
    owner_lowered = 'owner-lowered'
    upstream_out = 'upstream-out'
    deadline_passed = 'deadline-passed'
    shift_cap = 'shift-cap'
    body_too_large = 'body-too-large'
    body_too_slow = 'body-too-slow'
    memory_full = 'memory-full'
    quarantined = 'quarantined'
    byte_budget = 'byte-budget'
    bodies_in_flight = 'bodies-in-flight'
    upstream_unreachable = 'upstream-unreachable'
    upstream_leaving = 'upstream-leaving'
    upstream_refused = 'upstream-refused'
    upstream_paused = 'upstream-paused'
    upstream_limited = 'upstream-limited'
    upstream_replaced = 'upstream-replaced'
    upstream_broke = 'upstream-broke'
    upstream_timeout = 'upstream-timeout'
    upstream_silent = 'upstream-silent'
    refusal_unconfirmed = 'refusal-unconfirmed'
    peer_broke = 'peer-broke'
    caller_left = 'caller-left'
    behind_close = 'behind-close'
    connection_closed = 'connection-closed'
    internal_error = 'internal-error'


class Answered(msgspec.Struct, frozen=True, tag='answered'):
    """The complete response of the upstream to this request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    upstream: str


class NotRun(msgspec.Struct, frozen=True, tag='not-run'):
    """The request did not run and will not run."""

    reason: Reason
    retry_after: timedelta = timedelta(seconds=1)


class Unknown(msgspec.Struct, frozen=True, tag='unknown'):
    """The request may have run."""

    reason: Reason


Outcome = Answered | NotRun | Unknown
