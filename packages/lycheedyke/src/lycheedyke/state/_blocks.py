"""The map from client blocks to their home regions."""

import ipaddress
from collections.abc import Mapping
from typing import NamedTuple, Self

from lycheedyke.protocol import Block

_Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class FoundBlock(NamedTuple):
    """The block that holds an address."""

    prefix: str
    home: str


class BlockMap:
    """Finds the longest prefix that holds an address."""

    def __init__(self, homes: Mapping[_Network, str] | None = None) -> None:
        """Makes a map of the given networks."""
        self._homes = dict(homes or {})
        self._lengths = sorted(
            {(net.version, net.prefixlen) for net in self._homes},
            reverse=True,
        )

    def __len__(self) -> int:
        """Returns the number of blocks."""
        return len(self._homes)

    def __repr__(self) -> str:
        """Returns the number of blocks."""
        return f'<BlockMap of {len(self)} blocks>'

    def find(self, address: str) -> FoundBlock | None:
        """Returns the longest block that holds the address, or None.

        Raises:
            ValueError: the text is no IP address.
        """
        host = ipaddress.ip_address(address)
        for version, length in self._lengths:
            if version != host.version:
                continue
            network = ipaddress.ip_network((host, length), strict=False)
            home = self._homes.get(network)
            if home is not None:
                return FoundBlock(str(network), home)
        return None

    def change(self, blocks: Mapping[str, Block | None]) -> Self:
        """Returns a map with the given blocks set, or removed where None."""
        homes = dict(self._homes)
        for prefix, block in blocks.items():
            network = ipaddress.ip_network(prefix)
            if block is None:
                homes.pop(network, None)
            else:
                homes[network] = block.home
        return type(self)(homes)
