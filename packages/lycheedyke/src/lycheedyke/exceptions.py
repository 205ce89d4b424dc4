"""All errors of lycheedyke, in one tree with `LycheedykeError` as its root.

Each layer raises errors of its own branch and turns those of the layers
below into them.
"""


class LycheedykeError(Exception):
    """The root of all errors that this package raises."""


class TransportError(LycheedykeError):
    """A connection or an exchange on it failed."""


class ConnectError(TransportError):
    """No connection could be made; no byte of the request was sent."""


class ConnectionRefusedByHost(ConnectError):
    """The host answered that no process listens at the address."""


class ExchangeBroken(TransportError):
    """The exchange broke after bytes of the request may have been sent."""


class ExchangeTimeout(ExchangeBroken):
    """The answer did not arrive whole within the time allowed."""


class ResponseTooLarge(ExchangeBroken):
    """The answer is larger than the memory limit for one request."""


class ProtocolError(LycheedykeError):
    """A message or document does not have the agreed form."""


class MessageRejected(ProtocolError):
    """A peer message is malformed, too large, or not authenticated.

    Attributes:
        reason: 'oversized', 'version', 'signature' or 'form'.
    """

    def __init__(self, detail: str, *, reason: str = 'form') -> None:
        """Keeps the machine-readable reason."""
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
    """The platform did not answer; a write may or may not have been made."""


class PlatformCallNotSent(PlatformUnreachable):
    """No byte of the call was sent, so nothing was written."""


class PlatformStale(PlatformError):
    """The platform's answer lacks tickets that were accepted."""


class HistoryLost(PlatformError):
    """The platform has forgotten the changes after the revision asked for."""


class LeaseExpired(PlatformError):
    """The lease has ended, and the keys that it held are gone."""


class WriteConflict(PlatformError):
    """The key's version is not the expected one; nothing was written."""


class StateError(LycheedykeError):
    """An operation does not fit the state it is applied to."""


class TicketInvalid(StateError):
    """A ticket is impossible in the state that it would change.

    Attributes:
        faults: one sentence for each fault found.
    """

    def __init__(self, faults: list[str]) -> None:
        """Joins the faults into one message."""
        super().__init__('; '.join(faults))
        self.faults = faults


class CoordinationError(LycheedykeError):
    """Instances or the platform could not agree in the time allowed."""


class TicketConflict(CoordinationError):
    """A later ticket has changed the same objects.

    Attributes:
        winner: the number of the ticket that was accepted first.
    """

    def __init__(self, winner: int, objects: list[str]) -> None:
        """Names the winner and the objects that both tickets touch."""
        names = ', '.join(objects)
        super().__init__(f'ticket {winner} has already changed {names}')
        self.winner = winner


class TicketOutdated(CoordinationError):
    """A ticket is based on a number whose successors are forgotten."""


class AuthorIdReused(CoordinationError):
    """An author id stands in an accepted ticket of other content."""


class TicketNotAccepted(CoordinationError):
    """A ticket was surely not accepted in the time allowed."""


class TicketOutcomeUnknown(CoordinationError):
    """It could not be found out in time whether a ticket was accepted."""


class SettingsInvalid(LycheedykeError):
    """A settings file has faults.

    Attributes:
        faults: one line for each fault found.
    """

    def __init__(self, faults: list[str]) -> None:
        """Joins the faults, one to a line."""
        super().__init__('\n'.join(faults))
        self.faults = faults


class CallFailed(LycheedykeError):
    """A caller's request has no answer."""


class RequestNotRun(CallFailed):
    """The request did not run and will not.

    Attributes:
        reason: the machine-readable reason.
        retry_after: seconds after which a new attempt makes sense.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        """Names the reason and the time to come back."""
        super().__init__(f'not run: {reason}; retry after {retry_after} s')
        self.reason = reason
        self.retry_after = retry_after


class OutcomeUnknown(CallFailed):
    """The request may or may not have run.

    Attributes:
        reason: the machine-readable reason.
    """

    def __init__(self, reason: str) -> None:
        """Names the reason."""
        super().__init__(f'outcome unknown: {reason}')
        self.reason = reason
