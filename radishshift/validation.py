"""Validation of JSON values against msgspec types, with all problems listed."""

import types
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Union, get_args, get_origin

import json5
import msgspec

from radishshift.errors import SettingsError

__all__ = ["problems", "read_commented_json", "read_text_file", "validated"]


def read_text_file(path: str) -> str:
    """Return what a file of UTF-8 text holds.

    Raises
    ------
    SettingsError
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError([f"{path}: {exc}"]) from exc


def read_commented_json(text: str, source: str) -> Any:
    """Return the values of a JSON text with comments.

    Raises
    ------
    SettingsError
    """
    try:
        return json5.loads(text)
    except (ValueError, RecursionError) as exc:
        raise SettingsError([f"{source}: {exc}"]) from exc


def validated(value: Any, wanted: Any, source: str) -> Any:
    """Return a value converted to a type.

    Raises
    ------
    SettingsError
        Holds every problem, each with `source` and the path of its key.
    """
    found = list(problems(value, wanted, source))
    if found:
        raise SettingsError(found)
    try:
        return msgspec.convert(value, wanted)
    except msgspec.ValidationError as exc:
        raise SettingsError([f"{source}: {exc}"]) from exc


def problems(value: Any, wanted: Any, path: str) -> Iterator[str]:
    """Yield what is wrong with a value, part by part."""
    if get_origin(wanted) is Annotated and _is_struct(get_args(wanted)[0]):
        wanted = get_args(wanted)[0]
    if _is_struct(wanted):
        yield from _struct_problems(value, wanted, path)
    elif _is_tagged_union(wanted):
        yield from _union_problems(value, wanted, path)
    elif get_origin(wanted) is dict and isinstance(value, dict):
        for key, part in value.items():
            yield from problems(part, get_args(wanted)[1], f"{path}.{key}")
    elif get_origin(wanted) is list and isinstance(value, list):
        for number, part in enumerate(value):
            yield from problems(part, get_args(wanted)[0], f"{path}[{number}]")
    else:
        yield from _plain_problems(value, wanted, path)


def _is_struct(wanted: Any) -> bool:
    return isinstance(wanted, type) and issubclass(wanted, msgspec.Struct)


def _is_tagged_union(wanted: Any) -> bool:
    if get_origin(wanted) not in (Union, types.UnionType):
        return False
    return all(_is_struct(member) for member in get_args(wanted))


def _plain_problems(value: Any, wanted: Any, path: str) -> Iterator[str]:
    try:
        msgspec.convert(value, wanted)
    except msgspec.ValidationError as exc:
        yield f"{path}: {exc}"


def _struct_problems(value: Any, wanted: Any, path: str) -> Iterator[str]:
    if not isinstance(value, dict):
        yield f"{path}: expected an object"
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(wanted)}
    tag_field = wanted.__struct_config__.tag_field
    for key in value:
        if key not in fields and key != tag_field:
            yield f"{path}.{key}: unknown key"
    for name, field in fields.items():
        if name in value:
            yield from problems(value[name], field.type, f"{path}.{name}")
        elif field.required:
            yield f"{path}.{name}: missing"


def _union_problems(value: Any, wanted: Any, path: str) -> Iterator[str]:
    if not isinstance(value, dict):
        yield f"{path}: expected an object"
        return
    members = get_args(wanted)
    tag_field = members[0].__struct_config__.tag_field
    by_tag = {member.__struct_config__.tag: member for member in members}
    tag = value.get(tag_field)
    if not isinstance(tag, str) or tag not in by_tag:
        known = ", ".join(sorted(by_tag))
        yield f"{path}.{tag_field}: must be one of {known}"
        return
    yield from _struct_problems(value, by_tag[tag], path)
