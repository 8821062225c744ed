"""Validation of JSON values against msgspec types that reports all problems at once."""

import json
import types
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Union, get_args, get_origin

import json5
import msgspec

from radishshift.errors import SettingsError

__all__ = ["problems", "read_commented_json", "read_text_file", "validated"]


# A text may hold half of a surrogate pair, a number be too large for a float.
UNREADABLE_ERRORS = (
    msgspec.ValidationError,
    UnicodeEncodeError,
    OverflowError,
    RecursionError,
)


def read_text_file(path: str) -> str:
    """Return the contents of a UTF-8 text file.

    Raises
    ------
    SettingsError
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError([f"{path}: {exc}"]) from exc


def read_commented_json(text: str, source: str) -> Any:
    """Parse JSON with comments (JSON5).

    Raises
    ------
    SettingsError
    """
    try:
        value = json5.loads(text)
        json.dumps(value, ensure_ascii=False).encode()  # half of a surrogate pair fails
    except (ValueError, RecursionError) as exc:
        raise SettingsError([f"{source}: {exc}"]) from exc
    return value


def validated(value: Any, expected_type: Any, source: str) -> Any:
    """Validate a JSON value and return it as `expected_type`.

    Raises
    ------
    SettingsError
        Lists every problem, each with `source` and the path of its key.
    """
    found = list(problems(value, expected_type, source))
    if found:
        raise SettingsError(found)
    try:
        return msgspec.convert(value, expected_type)
    # `problems` does not check everything, such as the keys of dictionaries.
    except UNREADABLE_ERRORS as exc:
        raise SettingsError([f"{source}: {exc}"]) from exc


def problems(value: Any, expected_type: Any, path: str) -> Iterator[str]:
    """Yield the problems of a JSON value, including those of nested values.

    Within structs, tagged unions, dictionaries and lists every problem is found; of a
    value of any other type, only the first.
    """
    if get_origin(expected_type) is Annotated and _is_struct(
        get_args(expected_type)[0]
    ):
        expected_type = get_args(expected_type)[0]
    if _is_struct(expected_type):
        yield from _struct_problems(value, expected_type, path)
    elif _is_tagged_union(expected_type):
        yield from _union_problems(value, expected_type, path)
    elif get_origin(expected_type) is dict and isinstance(value, dict):
        for key, item in value.items():
            yield from problems(item, get_args(expected_type)[1], f"{path}.{key}")
    elif get_origin(expected_type) is list and isinstance(value, list):
        for index, item in enumerate(value):
            yield from problems(item, get_args(expected_type)[0], f"{path}[{index}]")
    else:
        yield from _plain_problems(value, expected_type, path)


def _is_struct(expected_type: Any) -> bool:
    return isinstance(expected_type, type) and issubclass(expected_type, msgspec.Struct)


def _is_tagged_union(expected_type: Any) -> bool:
    if get_origin(expected_type) not in (Union, types.UnionType):
        return False
    return all(_is_struct(member) for member in get_args(expected_type))


def _plain_problems(value: Any, expected_type: Any, path: str) -> Iterator[str]:
    try:
        msgspec.convert(value, expected_type)
    except UNREADABLE_ERRORS as exc:
        yield f"{path}: {exc}"


def _struct_problems(value: Any, expected_type: Any, path: str) -> Iterator[str]:
    if not isinstance(value, dict):
        yield f"{path}: expected an object"
        return
    fields = {
        field.encode_name: field for field in msgspec.structs.fields(expected_type)
    }
    tag_field = expected_type.__struct_config__.tag_field
    for key in value:
        if key not in fields and key != tag_field:
            yield f"{path}.{key}: unknown key"
    for name, field in fields.items():
        if name in value:
            yield from problems(value[name], field.type, f"{path}.{name}")
        elif field.required:
            yield f"{path}.{name}: missing"


def _union_problems(value: Any, expected_type: Any, path: str) -> Iterator[str]:
    if not isinstance(value, dict):
        yield f"{path}: expected an object"
        return
    members = get_args(expected_type)
    tag_field = members[0].__struct_config__.tag_field
    by_tag = {member.__struct_config__.tag: member for member in members}
    tag = value.get(tag_field)
    if not isinstance(tag, str) or tag not in by_tag:
        known = ", ".join(sorted(by_tag))
        yield f"{path}.{tag_field}: must be one of {known}"
        return
    yield from _struct_problems(value, by_tag[tag], path)
