"""Prints responses as tables or as JSON."""

import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any


def show(content: Any, *, as_json: bool) -> None:
    """Prints a response as JSON, as a table, or as a list of pairs."""
    if as_json:
        sys.stdout.write(f'{json.dumps(content, indent=2)}\n')
        return
    for line in _lines(content):
        sys.stdout.write(f'{line}\n')


def _lines(content: Any) -> Iterable[str]:
    match content:
        case list():
            return _table(content)
        case dict():
            return [f'{name}: {value}' for name, value in content.items()]
        case _:
            return [str(content)]


def _table(rows: list[Mapping[str, Any]]) -> Iterable[str]:
    if not rows:
        return ['(none)']
    names = list(rows[0])
    cells = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]
