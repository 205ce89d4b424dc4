"""The form of the tables of blocks, which needs no arrays."""

from collections.abc import Sequence
from typing import NamedTuple

ABSENT = -1


class Shape(NamedTuple):
    """The IP version and the prefix length of a table."""

    version: int
    length: int


class Table(NamedTuple):
    """Networks as numbers in ascending order, each with its home."""

    numbers: Sequence[int]
    homes: Sequence[int]
