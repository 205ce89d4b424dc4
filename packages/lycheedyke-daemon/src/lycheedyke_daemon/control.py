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
        replication: serves tickets and snapshots to peers.
        codec: checks messages and signs replies.
        counters: counts rejected messages by reason.
    """

    def __init__(
        self,
        members: Members,
        replication: TicketReplication,
        codec: MessageCodec,
        counters: Counters,
    ) -> None:
        """Initializes the API."""
        self._members = members
        self._replication = replication
        self._codec = codec
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the class and the name of the instance."""
        return f'<ControlApi of {self._members.own.name}>'

    async def answer(self, message: bytes) -> bytes | None:
        """Returns the signed reply, or None if the message gets no reply."""
        try:
            request = self._codec.decode_control_message(message)
        except MessageRejected as error:
            self._counters.count(f'message.{error.reason}')
            return None
        reply = self._reply(request)
        if reply is None:
            return None
        return self._codec.encode_control_message(reply)

    def _reply(self, request: ControlMessage) -> ControlMessage | None:
        match request:
            case Heartbeat():
                return self._members.answer_heartbeat(request)
            case SummariesRequest():
                return self._members.answer_summaries(request)
            case TicketsRequest():
                return self._replication.answer_tickets(request)
            case SnapshotRequest():
                return self._replication.answer_snapshot(request)
        self._counters.count('message.unexpected')
        return None
