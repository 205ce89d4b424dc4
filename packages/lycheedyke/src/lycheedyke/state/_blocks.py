"""The map from client blocks to their home regions.

Blocks are kept in one sorted table for each prefix length, with a small
overlay of changes that is merged into the tables once the overlay exceeds
`MAX_OVERLAY` entries.
"""

import importlib
import ipaddress
import socket
from bisect import bisect_left
from collections import Counter
from collections.abc import Mapping
from typing import Any, NamedTuple, Self

from lycheedyke.protocol import Block, BlockTable
from lycheedyke.state._block_shapes import ABSENT, Shape, Table

MAX_OVERLAY = 16_384
_FAMILIES = ((socket.AF_INET, 4, 32), (socket.AF_INET6, 6, 128))

_Overlay = dict[Shape, dict[int, int]]


def _arrays() -> Any:
    """Returns the module that packs tables, imported on first use.

    The module needs numpy. An instance without blocks does not load numpy,
    which would take a sixth of the memory of an instance that follows a
    registry.
    """
    return importlib.import_module('lycheedyke.state._block_tables')


class FoundBlock(NamedTuple):
    """The block that contains an address."""

    prefix: str
    home: str


class _Key(NamedTuple):
    """A network, represented by its prefix bits as a number."""

    shape: Shape
    number: int


class BlockMap:
    """An immutable map that finds the longest prefix of an address."""

    def __init__(self) -> None:
        """Initializes an empty map."""
        self._homes: tuple[str, ...] = ()
        self._tables: dict[Shape, Table] = {}
        self._overlay: _Overlay = {}
        self._counts: Counter[int] = Counter()
        self._shapes: tuple[Shape, ...] = ()

    def __len__(self) -> int:
        """Returns the number of blocks."""
        return self._counts.total()

    def __repr__(self) -> str:
        """Returns the number of blocks."""
        return f'<BlockMap of {len(self)} blocks>'

    @property
    def overlay_size(self) -> int:
        """The number of changes that are not merged into the tables yet."""
        return sum(map(len, self._overlay.values()))

    def homes(self) -> set[str]:
        """Returns the regions that are the home of at least one block."""
        return {
            self._homes[home] for home, count in self._counts.items() if count
        }

    def find(self, address: str) -> FoundBlock | None:
        """Returns the most specific block of the address, or None.

        Raises:
            ValueError: the text is not an IP address.
        """
        version, bits, host = _read_host(address)
        for shape in self._shapes:
            if shape.version != version:
                continue
            number = host >> (bits - shape.length)
            home = self._home_of(shape, number)
            if home != ABSENT:
                return FoundBlock(
                    _write_prefix(shape, number),
                    self._homes[home],
                )
        return None

    def get(self, prefix: str) -> str | None:
        """Returns the home of exactly this block, or None.

        Raises:
            ValueError: the text is not a network prefix.
        """
        home = self._home_of(*_read_prefix(prefix))
        return None if home == ABSENT else self._homes[home]

    def change(self, blocks: Mapping[str, Block | None]) -> Self:
        """Returns a map with the changes applied; None removes a block."""
        changed = self._copy()
        for prefix, block in blocks.items():
            home = ABSENT if block is None else changed._intern(block.home)
            changed._set(_read_prefix(prefix), home)
        if changed.overlay_size > MAX_OVERLAY:
            changed._merge()
        changed._sort_shapes()
        return changed

    def export(self) -> tuple[tuple[str, ...], tuple[BlockTable, ...]]:
        """Returns the homes, and the encoded table of each prefix length."""
        merged = self._copy()
        merged._merge()
        return merged._homes, tuple(
            _arrays().write_table(shape, table)
            for shape, table in sorted(merged._tables.items())
        )

    @classmethod
    def restore(
        cls,
        homes: tuple[str, ...],
        tables: tuple[BlockTable, ...],
    ) -> Self:
        """Returns the map from the homes and tables that `export` returned."""
        restored = cls()
        restored._homes = homes
        for wire in tables:
            shape, table = _arrays().read_table(wire)
            restored._tables[shape] = table
            restored._counts.update(_arrays().count_homes(table))
        restored._sort_shapes()
        return restored

    def _home_of(self, shape: Shape, number: int) -> int:
        overlay = self._overlay.get(shape)
        if overlay is not None and number in overlay:
            return overlay[number]
        table = self._tables.get(shape)
        if table is None:
            return ABSENT
        index = bisect_left(table.numbers, number)
        if index == len(table.numbers) or table.numbers[index] != number:
            return ABSENT
        return table.homes[index]

    def _copy(self) -> Self:
        copied = type(self)()
        copied._homes = self._homes
        copied._tables = dict(self._tables)
        copied._overlay = {
            shape: dict(changes) for shape, changes in self._overlay.items()
        }
        copied._counts = self._counts.copy()
        copied._shapes = self._shapes
        return copied

    def _intern(self, home: str) -> int:
        if home not in self._homes:
            self._homes = (*self._homes, home)
        return self._homes.index(home)

    def _set(self, key: _Key, home: int) -> None:
        before = self._home_of(*key)
        if before != ABSENT:
            self._counts[before] -= 1
        if home != ABSENT:
            self._counts[home] += 1
        self._overlay.setdefault(key.shape, {})[key.number] = home

    def _merge(self) -> None:
        for shape, changes in self._overlay.items():
            self._tables[shape] = _arrays().merge(
                shape,
                self._tables.get(shape),
                changes,
            )
        self._tables = {
            kept: table
            for kept, table in self._tables.items()
            if len(table.numbers)
        }
        self._overlay = {}

    def _sort_shapes(self) -> None:
        shapes = self._tables.keys() | self._overlay.keys()
        self._shapes = tuple(sorted(shapes, reverse=True))


def _read_host(address: str) -> tuple[int, int, int]:
    family, version, bits = _FAMILIES[':' in address]
    try:
        packed = socket.inet_pton(family, address)
    except (OSError, UnicodeError, ValueError) as error:
        raise ValueError(f'{address!r} is not an IP address') from error
    return version, bits, int.from_bytes(packed)


def _read_prefix(prefix: str) -> _Key:
    network = ipaddress.ip_network(prefix)
    bits = network.max_prefixlen
    shape = Shape(network.version, network.prefixlen)
    host = int(network.network_address)
    return _Key(shape, host >> (bits - network.prefixlen))


def _write_prefix(shape: Shape, number: int) -> str:
    family, _, bits = _FAMILIES[shape.version == 6]
    packed = (number << (bits - shape.length)).to_bytes(bits // 8)
    return f'{socket.inet_ntop(family, packed)}/{shape.length}'
