"""Types of the block tables that do not depend on numpy."""

from collections.abc import Sequence
from typing import NamedTuple

ABSENT = -1


class Shape(NamedTuple):
    """The IP version and the prefix length of a table."""

    version: int
    length: int


class Table(NamedTuple):
    """Networks as numbers in ascending order, each with its home index."""

    numbers: Sequence[int]
    homes: Sequence[int]
