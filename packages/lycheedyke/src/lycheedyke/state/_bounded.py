"""Dictionaries that keep their most recently used entries."""

from collections import OrderedDict
from typing import TypeVar

_Entry = TypeVar('_Entry')


def keep_recent(
    entries: OrderedDict[str, _Entry], key: str, entry: _Entry, most: int
) -> _Entry:
    """Stores an entry as the most recent one, and returns it.

    Args:
        entries: the entries, of which the oldest is dropped beyond `most`.
        key: the key of the entry.
        entry: the entry.
        most: the maximum number of entries.
    """
    entries[key] = entry
    entries.move_to_end(key)
    if len(entries) > most:
        entries.popitem(last=False)
    return entry
