"""Typed requests to peers over their links."""

from collections.abc import Callable, Collection, Mapping
from datetime import timedelta

from lycheedyke.exceptions import (
    ConnectionRefusedByHost,
    MessageRejected,
    TransportError,
)
from lycheedyke.protocol import ControlMessage, MessageCodec
from lycheedyke.state import Counters
from lycheedyke.transport import Link

REQUEST_TIMEOUT = timedelta(milliseconds=500)

Connect = Callable[[str], Link]


class PeerRequester:
    """Sends requests to peers over one link for each address in use.

    Args:
        codec: signs requests and checks replies.
        counters: counts failures by reason.
        connect: returns a link to an address.
        routes: maps an address to the one to connect to instead.
    """

    def __init__(
        self,
        codec: MessageCodec,
        counters: Counters,
        connect: Connect,
        routes: Mapping[str, str],
    ) -> None:
        """Initializes the requester without links."""
        self._codec = codec
        self._counters = counters
        self._connect = connect
        self._routes = routes
        self._links: dict[str, Link] = {}

    def __repr__(self) -> str:
        """Returns the number of links."""
        return f'<PeerRequester with {len(self._links)} links>'

    async def request(
        self, address: str, message: ControlMessage
    ) -> ControlMessage | None:
        """Returns the reply, or None if there is no valid one.

        Raises:
            ConnectionRefusedByHost: no process listens at the address. A
                refusal at a routed address is not raised, since it may come
                from the address translator.
        """
        link = self._links.get(address)
        if link is None:
            link = self._connect(self._routes.get(address, address))
            self._links[address] = link
        try:
            reply = await link.request(
                self._codec.encode_control_message(message),
                timeout=REQUEST_TIMEOUT,
            )
            return self._codec.decode_control_message(reply)
        except ConnectionRefusedByHost:
            self._counters.count('ask.refused')
            if address not in self._routes:
                raise
        except TransportError:
            self._counters.count('ask.unanswered')
        except MessageRejected as error:
            self._counters.count(f'message.{error.reason}')
        return None

    def close_others(self, addresses: Collection[str]) -> None:
        """Closes the links to all other addresses."""
        for address in set(self._links).difference(addresses):
            self._links.pop(address).close()
