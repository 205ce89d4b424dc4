"""All errors of lycheedyke; `LycheedykeError` is their base class.

Each layer raises its own errors, and converts the errors of lower layers to
its own.
"""


class LycheedykeError(Exception):
    """The base class of all errors that this package raises."""


class TransportError(LycheedykeError):
    """A connection or an exchange on it failed."""


class ConnectError(TransportError):
    """No connection could be made; no byte of the request was sent."""


class ConnectionRefusedByHost(ConnectError):
    """The host refused the connection: no process listens at the address."""


class WriteTooLate(ConnectError):
    """The time for an exchange was over before the request was written."""


class UpstreamWithdrawn(ConnectError):
    """The upstream was withdrawn before the request was written."""


class UpstreamLimited(UpstreamWithdrawn):
    """The upstream takes no further request for now."""


class ExchangeBroken(TransportError):
    """An exchange failed after bytes of the request may have been sent."""


class ExchangeTimeout(ExchangeBroken):
    """The response was not complete within the timeout."""


class ResponseTooLarge(ExchangeBroken):
    """The response exceeds a limit for its body, its heads or its framing."""


class ResponseMemoryFull(ResponseTooLarge):
    """The response was the largest one when the memory for them was full."""


class BodyTooLarge(TransportError):
    """A body is larger than the limit for its size."""


class BodyMemoryFull(BodyTooLarge):
    """A body was the largest one when the memory for bodies was full."""


class ProtocolError(LycheedykeError):
    """A message or a document does not have the documented form."""


class MessageRejected(ProtocolError):
    """A peer message is malformed, too large, or not authenticated.

    Attributes:
        reason: 'oversized', 'version', 'signature' or 'form'.
    """

    def __init__(self, detail: str, *, reason: str = 'form') -> None:
        """Stores the machine-readable reason."""
        super().__init__(detail)
        self.reason = reason


class KeyMalformed(ProtocolError):
    """An idempotency key does not have the documented form."""


class DocumentMalformed(ProtocolError):
    """A ticket or platform document does not have the documented form."""


class DocumentTooNew(DocumentMalformed):
    """A document was written by a newer version of this project."""


class PlatformError(ProtocolError):
    """A call to the platform's key-value service failed."""


class PlatformUnreachable(PlatformError):
    """The platform did not respond; a write may or may not have been done."""


class PlatformCallNotSent(PlatformUnreachable):
    """No byte of the call was sent, so nothing was written."""


class WatchInterrupted(PlatformUnreachable):
    """A call that waited for changes ended without a response."""


class PlatformStale(PlatformError):
    """The platform's response lacks what was known before."""


class HistoryLost(PlatformError):
    """The platform no longer has the changes after the given revision."""


class LeaseExpired(PlatformError):
    """The lease has expired, and its keys were removed."""


class WriteConflict(PlatformError):
    """The key's revision is not the expected one; nothing was written."""


class StateError(LycheedykeError):
    """An operation is invalid in the current state."""


class TicketInvalid(StateError):
    """A ticket cannot be applied to the current configuration.

    Attributes:
        faults: one sentence for each fault found.
    """

    def __init__(self, faults: list[str]) -> None:
        """Joins the faults into one message."""
        super().__init__('; '.join(faults))
        self.faults = faults


class CoordinationError(LycheedykeError):
    """Instances and the platform did not agree within the timeout."""


class TicketConflict(CoordinationError):
    """A later ticket has changed the same objects.

    Attributes:
        winner: the number of the ticket that made the change.
    """

    def __init__(self, winner: int, objects: list[str]) -> None:
        """Builds the message from the other ticket and the changed objects."""
        names = ', '.join(objects)
        super().__init__(f'ticket {winner} has already changed {names}')
        self.winner = winner


class TicketOutdated(CoordinationError):
    """The changes after the ticket number in `based_on` are not stored."""


class AuthorIdReused(CoordinationError):
    """The author id belongs to an accepted ticket with other content."""


class TicketNotAccepted(CoordinationError):
    """A ticket was definitely not accepted within the timeout."""


class TicketOutcomeUnknown(CoordinationError):
    """Whether a ticket was accepted is not known within the timeout."""


class SettingsInvalid(LycheedykeError):
    """A settings file has faults.

    Attributes:
        faults: one line for each fault found.
    """

    def __init__(self, faults: list[str]) -> None:
        """Joins the faults into one message, one fault on each line."""
        super().__init__('\n'.join(faults))
        self.faults = faults


class CallFailed(LycheedykeError):
    """A request of the client has no response."""


class RequestNotRun(CallFailed):
    """The request did not run and will not run.

    Attributes:
        reason: the machine-readable reason.
        retry_after: the seconds to wait before a new attempt.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        """Builds the message from the reason and the time to wait."""
        super().__init__(f'not run: {reason}; retry after {retry_after} s')
        self.reason = reason
        self.retry_after = retry_after


class OutcomeUnknown(CallFailed):
    """The request may or may not have run.

    Attributes:
        reason: the machine-readable reason.
    """

    def __init__(self, reason: str) -> None:
        """Builds the message from the reason."""
        super().__init__(f'outcome unknown: {reason}')
        self.reason = reason
