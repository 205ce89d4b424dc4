"""Lists what a configuration changes of another one."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from lycheedyke.protocol import RoutingRecord

_KEYS = 'key_digests'


def list_differences(before: RoutingRecord, after: RoutingRecord) -> list[str]:
    """Returns a line for each entry that is added, removed or changed.

    Args:
        before: the configuration in force.
        after: the one that is to replace it.
    """
    lines = [f'version: {before.number:x} -> {after.number:x}']
    if after.number <= before.number:
        lines.append('it has no effect: the number must rise')
    for kind in 'routes', 'services', 'tenants':
        lines.extend(
            _compare(kind[:-1], _by_name(before, kind), _by_name(after, kind))
        )
    if (before.tenants is None) is not (after.tenants is None):
        state = 'need no key' if after.tenants is None else 'need a key'
        lines.append(f'callers {state} from now on')
    lines.extend(
        f'limits: {change}' for change in _changes(before.limits, after.limits)
    )
    return lines


def _by_name(record: RoutingRecord, kind: str) -> dict[str, Any]:
    return {entry.name: entry for entry in getattr(record, kind) or ()}


def _compare(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[str]:
    for name in sorted(before.keys() - after.keys()):
        yield f'{kind} {name!r}: removed'
    for name in sorted(after.keys() - before.keys()):
        yield f'{kind} {name!r}: added'
    for name in sorted(before.keys() & after.keys()):
        changes = ', '.join(_changes(before[name], after[name]))
        if changes:
            yield f'{kind} {name!r}: {changes}'


def _changes(before: Any, after: Any) -> Iterator[str]:
    for field in msgspec.structs.fields(before):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old == new:
            continue
        if field.name == _KEYS:
            # Keys are told by their number alone.
            added = len(set(new) - set(old))
            removed = len(set(old) - set(new))
            yield f'keys: {added} added, {removed} removed'
        else:
            yield f'{field.name}: {_show(old)} -> {_show(new)}'


def _show(content: Any) -> str:
    if isinstance(content, frozenset):
        return ' '.join(sorted(content)) or 'none'
    return str(getattr(content, 'value', content))
