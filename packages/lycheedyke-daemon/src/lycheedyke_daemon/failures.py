"""What a failed exchange with an upstream says of the request."""

from lycheedyke.exceptions import (
    ConnectionNotMade,
    ExchangeBroken,
    ExchangeTimeout,
)
from lycheedyke.protocol import NotRun, Reason, Unknown


def outcome_of(error: ConnectionNotMade | ExchangeBroken) -> NotRun | Unknown:
    """Returns "not run" if no byte was sent, and "unknown" otherwise."""
    match error:
        case ConnectionNotMade():
            return NotRun(Reason.upstream_unreachable)
        case ExchangeTimeout():
            return Unknown(Reason.upstream_timeout)
        case _:
            return Unknown(Reason.upstream_broke)
