"""Sorted tables of the blocks of one prefix length."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import numpy as np

from lycheedyke.protocol import BlockTable
from lycheedyke.state._block_shapes import ABSENT, Shape, Table

MAX_PACKED_LENGTH = 64
WIDE_BYTES = 16
_HOME_TYPE = np.dtype('<u2')
_Array = np.ndarray[Any, np.dtype[Any]]


def count_homes(table: Table) -> Counter[int]:
    """Returns the number of blocks of each home."""
    counts = np.bincount(np.asarray(table.homes, dtype=_HOME_TYPE))
    return Counter(
        {home: int(count) for home, count in enumerate(counts) if count},
    )


def merge(
    shape: Shape,
    table: Table | None,
    changes: Mapping[int, int],
) -> Table:
    """Returns the table with the changes applied; ABSENT removes a number."""
    if shape.length > MAX_PACKED_LENGTH:
        return _merge_wide(table, changes)
    kept = _without(table or Table((), ()), changes, _number_type(shape))
    added = {number: home for number, home in changes.items() if home != ABSENT}
    numbers = np.array(sorted(added), dtype=kept.numbers.dtype)
    homes = np.array([added[number] for number in sorted(added)], _HOME_TYPE)
    indexes = np.searchsorted(kept.numbers, numbers)
    return _pack(
        np.insert(kept.numbers, indexes, numbers),
        np.insert(kept.homes, indexes, homes),
    )


def write_table(shape: Shape, table: Table) -> BlockTable:
    """Returns the encoded form of the table, as it is stored and sent."""
    homes = np.asarray(table.homes, dtype=_HOME_TYPE).tobytes()
    if shape.length > MAX_PACKED_LENGTH:
        packed = b''.join(each.to_bytes(WIDE_BYTES) for each in table.numbers)
        return BlockTable(*shape, packed, homes)
    numbers = np.asarray(table.numbers, dtype=_number_type(shape))
    return BlockTable(*shape, numbers.tobytes(), homes)


def read_table(wire: BlockTable) -> tuple[Shape, Table]:
    """Decodes a table that `write_table` encoded."""
    shape = Shape(wire.version, wire.length)
    homes = np.frombuffer(wire.homes, dtype=_HOME_TYPE)
    if shape.length > MAX_PACKED_LENGTH:
        packed = wire.numbers
        wide = tuple(
            int.from_bytes(packed[start : start + WIDE_BYTES])
            for start in range(0, len(packed), WIDE_BYTES)
        )
        return shape, Table(wide, _view(homes))
    numbers = np.frombuffer(wire.numbers, dtype=_number_type(shape))
    return shape, _pack(numbers, homes)


class _Columns(NamedTuple):
    """A table as arrays."""

    numbers: _Array
    homes: _Array


def _without(
    table: Table,
    changes: Mapping[int, int],
    kind: np.dtype[Any],
) -> _Columns:
    numbers = np.asarray(table.numbers, dtype=kind)
    homes = np.asarray(table.homes, dtype=_HOME_TYPE)
    changed = np.array(sorted(changes), dtype=kind)
    indexes = np.searchsorted(numbers, changed)
    inside = indexes < len(numbers)
    hits = indexes[inside]
    kept = np.ones(len(numbers), dtype=bool)
    kept[hits[numbers[hits] == changed[inside]]] = False
    return _Columns(numbers[kept], homes[kept])


def _merge_wide(table: Table | None, changes: Mapping[int, int]) -> Table:
    merged = dict(zip(table.numbers, table.homes, strict=True) if table else ())
    merged.update(changes)
    present = {
        number: home for number, home in merged.items() if home != ABSENT
    }
    numbers = tuple(sorted(present))
    homes = np.array([present[number] for number in numbers], _HOME_TYPE)
    return Table(numbers, _view(homes))


def _number_type(shape: Shape) -> np.dtype[Any]:
    return np.dtype('<u4' if shape.version == 4 else '<u8')


def _pack(numbers: _Array, homes: _Array) -> Table:
    return Table(_view(numbers), _view(homes))


def _view(array: _Array) -> Sequence[int]:
    # Elements of a memory view are read as plain integers, which makes
    # bisection several times faster than on the array itself.
    return memoryview(array.data)
