"""Converts a failed exchange with an upstream to an outcome."""

from lycheedyke.exceptions import (
    ConnectError,
    ExchangeBroken,
    ExchangeTimeout,
    UpstreamLimited,
    UpstreamWithdrawn,
    WriteTooLate,
)
from lycheedyke.protocol import NotRun, Reason, Unknown


def outcome_of_error(error: ConnectError | ExchangeBroken) -> NotRun | Unknown:
    """Returns "not run" if no byte was sent, and "unknown" otherwise."""
    match error:
        case WriteTooLate():
            return NotRun(Reason.deadline_passed)
        case UpstreamLimited():
            return NotRun(Reason.upstream_limited)
        case UpstreamWithdrawn():
            return NotRun(Reason.upstream_leaving)
        case ConnectError():
            return NotRun(Reason.upstream_unreachable)
        case ExchangeTimeout():
            return Unknown(Reason.upstream_timeout)
        case _:
            return Unknown(Reason.upstream_broke)
