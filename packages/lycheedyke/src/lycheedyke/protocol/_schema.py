"""Validates JSON documents and reports all faults, not only the first."""

import json
import types
from collections.abc import Iterator
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec


class _ObjectWithDuplicates(dict[str, Any]):
    """A JSON object with duplicate names."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        names = [name for name, _ in pairs]
        self.duplicates = sorted(
            {name for name in names if names.count(name) > 1}
        )


def find_schema_faults(document: bytes, kind: type[Any]) -> list[str]:
    """Returns a sentence for each schema fault of a JSON document.

    Args:
        document: the document.
        kind: the `msgspec.Struct` type of the document.
    """
    try:
        raw = json.loads(document, object_pairs_hook=_build_object)
    except (ValueError, RecursionError) as error:
        return [f'the document is not valid JSON: {error}']
    return list(_find_faults(raw, kind, ''))


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    unique = dict(pairs)
    return unique if len(unique) == len(pairs) else _ObjectWithDuplicates(pairs)


def _find_faults(raw: Any, kind: Any, path: str) -> Iterator[str]:
    if isinstance(raw, _ObjectWithDuplicates):
        for name in raw.duplicates:
            yield f'{_join(path, name)} stands twice'
    inner = _strip_optional(raw, kind)
    if isinstance(raw, dict) and get_origin(inner) is dict:
        yield from _find_dict_faults(raw, inner, path)
    elif isinstance(raw, dict) and _is_struct(inner):
        yield from _find_struct_faults(raw, inner, path)
    else:
        yield from _find_value_faults(raw, kind, path)


def _strip_optional(raw: Any, kind: Any) -> Any:
    # Optional types are written with None last.
    if get_origin(kind) is types.UnionType and raw is not None:
        return get_args(kind)[0]
    return kind


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _find_dict_faults(
    raw: dict[str, Any], kind: Any, path: str
) -> Iterator[str]:
    name_kind, value_kind = get_args(kind)
    for name, member in raw.items():
        subpath = _join(path, name)
        yield from _find_value_faults(name, name_kind, subpath)
        yield from _find_faults(member, value_kind, subpath)


def _find_struct_faults(
    raw: dict[str, Any], kind: Any, path: str
) -> Iterator[str]:
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    hints = get_type_hints(kind, include_extras=True)
    for name, member in raw.items():
        subpath = _join(path, name)
        if name in fields:
            yield from _find_faults(member, hints[name], subpath)
        else:
            yield f'{subpath}: unknown field; allowed are {", ".join(fields)}'
    for name, field in fields.items():
        if field.required and name not in raw:
            yield f'{_join(path, name)} is missing'


def _find_value_faults(raw: Any, kind: Any, path: str) -> Iterator[str]:
    try:
        msgspec.convert(raw, Annotated[kind, msgspec.Meta()])
    except msgspec.ValidationError as error:
        yield f'{path or "the document"}: {error}'


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
