"""The transfer of a configuration that is being received.

It is passed on while it arrives, and goes on from another peer where it was
cut.
"""

import asyncio
from typing import NamedTuple


class Stream(NamedTuple):
    """What a peer sends.

    Attributes:
        base: the digest of the content to which it is a difference.
        digest: the digest of all its bytes.
        length: their number.
    """

    base: bytes
    digest: bytes
    length: int


class InboundTransfer:
    """The bytes of one configuration as they arrive.

    Args:
        wanted: the digest of the configuration's content.

    Attributes:
        wanted: the digest of the configuration's content.
        stream: what is received; None before the first bytes.
        received: the bytes so far.
        is_ended: whether nothing more will arrive.
    """

    def __init__(self, wanted: bytes) -> None:
        """Starts without bytes."""
        self.wanted = wanted
        self.stream: Stream | None = None
        self.received = bytearray()
        self.is_ended = False
        self._changed = asyncio.Event()

    def __repr__(self) -> str:
        """Returns how many bytes were received."""
        return f'<InboundTransfer: {len(self.received)} of {self.stream}>'

    @property
    def is_complete(self) -> bool:
        """Whether all bytes were received."""
        stream = self.stream
        return stream is not None and len(self.received) == stream.length

    def begin(self, stream: Stream, offset: int) -> bool:
        """Takes the bytes of a stream from an offset on.

        The bytes of another stream are dropped.

        Returns:
            False if bytes before the offset are missing.
        """
        if stream != self.stream:
            self.received.clear()
        if offset > len(self.received):
            return False
        del self.received[offset:]
        self.stream = stream
        self._notify()
        return True

    def write(self, chunk: bytes) -> None:
        """Adds bytes."""
        self.received += chunk
        self._notify()

    def drop(self) -> None:
        """Drops all bytes, which turned out to be no configuration."""
        self.stream = None
        self.received.clear()
        self._notify()

    def end(self) -> None:
        """Notes that nothing more will arrive."""
        self.is_ended = True
        self._notify()

    async def wait_change(self) -> None:
        """Waits until bytes arrive or the transfer ends."""
        await self._changed.wait()

    def _notify(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()


class InboundTransfers:
    """The transfers that are under way, by the digest of their content."""

    def __init__(self) -> None:
        """Starts without transfers."""
        self._transfers: dict[bytes, InboundTransfer] = {}

    def __repr__(self) -> str:
        """Returns the number of transfers."""
        return f'<InboundTransfers: {len(self._transfers)}>'

    def find(self, digest: bytes) -> InboundTransfer | None:
        """Returns the transfer of a content, if it is under way."""
        return self._transfers.get(digest)

    def open(self, digest: bytes) -> InboundTransfer:
        """Begins a transfer."""
        transfer = InboundTransfer(digest)
        self._transfers[digest] = transfer
        return transfer

    def close(self, transfer: InboundTransfer) -> None:
        """Ends a transfer."""
        self._transfers.pop(transfer.wanted, None)
        transfer.end()
