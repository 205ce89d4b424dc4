"""Answers the control messages of other instances."""

from lycheedyke.coordination import Members, TicketReplication
from lycheedyke.exceptions import MessageRejected
from lycheedyke.protocol import (
    ControlMessage,
    Heartbeat,
    MessageCodec,
    SnapshotRequest,
    SummariesRequest,
    TicketsRequest,
)
from lycheedyke.state import Counters


class ControlApi:
    """Serves the control port.

    Args:
        members: answers heartbeats and exchanges summaries.
        spread: hands out tickets and snapshots.
        codec: checks messages and signs replies.
        counters: counts rejected messages by reason.
    """

    def __init__(
        self,
        members: Members,
        spread: TicketReplication,
        codec: MessageCodec,
        counters: Counters,
    ) -> None:
        """Makes the API over the parts of one instance."""
        self._members = members
        self._spread = spread
        self._codec = codec
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<ControlApi of {self._members.own.name}>'

    async def answer(self, message: bytes) -> bytes | None:
        """Returns the signed reply, or None where there is none."""
        try:
            asked = self._codec.decode_control_message(message)
        except MessageRejected as error:
            self._counters.count(f'message.{error.reason}')
            return None
        reply = self._reply(asked)
        if reply is None:
            return None
        return self._codec.encode_control_message(reply)

    def _reply(self, asked: ControlMessage) -> ControlMessage | None:
        match asked:
            case Heartbeat():
                return self._members.answer_heartbeat(asked)
            case SummariesRequest():
                return self._members.answer_summaries(asked)
            case TicketsRequest():
                return self._spread.answer_tickets(asked)
            case SnapshotRequest():
                return self._spread.answer_snapshot(asked)
        self._counters.count('message.unexpected')
        return None
