"""Links of entry instances that carry few bytes a second.

Each direction of a link is one queue: bytes of different connections take
turns, and all of them wait for those before them.
"""

import asyncio

from standins.relay import Relay

# The bytes that take one turn on a link.
CHUNK_BYTES = 2_048
BITS_PER_BYTE = 8


class ThinDirection:
    """One direction of a link.

    Args:
        bits_per_s: what it carries; None without a limit.

    Attributes:
        bits_per_s: what it carries; None without a limit.
        carried_bytes: the bytes that it has carried.
        held: cleared while it holds all bytes back.
    """

    def __init__(self, bits_per_s: float | None) -> None:
        """Starts with an idle direction."""
        self.carried_bytes = 0
        self.held = asyncio.Event()
        self.held.set()
        self.bits_per_s = bits_per_s
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Waits until so many bytes have passed.

        Args:
            size: their number.
        """
        await self.held.wait()
        self.carried_bytes += size
        if self.bits_per_s is None:
            return
        loop = asyncio.get_running_loop()
        started = max(loop.time(), self._free_at)
        self._free_at = started + size * BITS_PER_BYTE / self.bits_per_s
        await asyncio.sleep(self._free_at - loop.time())


class ThinLink:
    """The link of one instance.

    Args:
        bits_per_s: what each direction carries; None without a limit.
    """

    def __init__(self, bits_per_s: float | None) -> None:
        """Starts with an idle link."""
        self.down = ThinDirection(bits_per_s)
        self.up = ThinDirection(bits_per_s)

    def limit(self, bits_per_s: float | None) -> None:
        """Sets what each direction carries; None without a limit."""
        self.down.bits_per_s = bits_per_s
        self.up.bits_per_s = bits_per_s

    def hold(self) -> None:
        """Holds back all bytes in both directions."""
        self.down.held.clear()
        self.up.held.clear()

    def release(self) -> None:
        """Carries all bytes at once, also those that were held."""
        self.limit(None)
        self.down.held.set()
        self.up.held.set()


class ThinRelay(Relay):
    """Relays connections through directions of links.

    Args:
        target: the address to which it connects.
        to_target: carries what the connecting side sends.
        to_client: carries what the target sends.
    """

    def __init__(
        self, target: str, to_target: ThinDirection, to_client: ThinDirection
    ) -> None:
        """Initializes an open relay."""
        super().__init__(target)
        self._silenced: set[asyncio.StreamWriter] = set()
        self._directions = {
            id(self.to_target): to_target,
            id(self.to_client): to_client,
        }

    def silence(self) -> None:
        """Lets no byte pass any more on the connections that are open."""
        self._silenced |= self._writers

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        direction = self._directions[id(gate)]
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await direction.carry(len(chunk))
                if writer in self._silenced:
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        writer.close()
