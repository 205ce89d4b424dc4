"""Finds all faults of a document's form, part by part."""

import json
import types
from collections.abc import Iterator
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec


class _Repeated(dict[str, Any]):
    """A JSON object in which names stand more than once."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        names = [name for name, _ in pairs]
        self.repeated = sorted(
            {name for name in names if names.count(name) > 1}
        )


def find_schema_faults(document: bytes, kind: type[Any]) -> list[str]:
    """Returns a sentence for each fault of a JSON document's form.

    Args:
        document: the document.
        kind: the `msgspec.Struct` that it should hold.
    """
    try:
        raw = json.loads(document, object_pairs_hook=_make_object)
    except (ValueError, RecursionError) as error:
        return [f'the document is no JSON: {error}']
    return list(_faults(raw, kind, ''))


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    return made if len(made) == len(pairs) else _Repeated(pairs)


def _faults(raw: Any, kind: Any, path: str) -> Iterator[str]:
    if isinstance(raw, _Repeated):
        for name in raw.repeated:
            yield f'{_join(path, name)} stands twice'
    inner = _inner(raw, kind)
    if isinstance(raw, dict) and get_origin(inner) is dict:
        yield from _dict_faults(raw, inner, path)
    elif isinstance(raw, dict) and _is_struct(inner):
        yield from _struct_faults(raw, inner, path)
    else:
        yield from _value_faults(raw, kind, path)


def _inner(raw: Any, kind: Any) -> Any:
    # Optional kinds are written with None last.
    if get_origin(kind) is types.UnionType and raw is not None:
        return get_args(kind)[0]
    return kind


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _dict_faults(raw: dict[str, Any], kind: Any, path: str) -> Iterator[str]:
    name_kind, value_kind = get_args(kind)
    for name, member in raw.items():
        where = _join(path, name)
        yield from _value_faults(name, name_kind, where)
        yield from _faults(member, value_kind, where)


def _struct_faults(raw: dict[str, Any], kind: Any, path: str) -> Iterator[str]:
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    hints = get_type_hints(kind, include_extras=True)
    for name, member in raw.items():
        where = _join(path, name)
        if name in fields:
            yield from _faults(member, hints[name], where)
        else:
            yield f'{where}: unknown field; allowed are {", ".join(fields)}'
    for name, field in fields.items():
        if field.required and name not in raw:
            yield f'{_join(path, name)} is missing'


def _value_faults(raw: Any, kind: Any, path: str) -> Iterator[str]:
    try:
        msgspec.convert(raw, Annotated[kind, msgspec.Meta()])
    except msgspec.ValidationError as error:
        yield f'{path or "the document"}: {error}'


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
