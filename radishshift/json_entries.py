"""JSON documents of which single entries may be unreadable.

A document of many writers' entries must not be lost for one of them. The decoder takes
a document whole, so what it refuses within an entry, such as half of a surrogate pair,
refuses all. Then the document is cut at its brackets and commas, whatever lies between.
"""

import math
import re
from collections.abc import Callable, Iterator
from typing import Any, TypeVar, get_args, get_origin

import msgspec

__all__ = ["decode_entry", "decode_struct", "document_members", "entries_of"]

Model = TypeVar("Model")

MAX_DEPTH = 32  # of lists and objects within each other
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_STRING = re.compile(rb'\s*"(?:[^"\\]|\\.)*"', re.DOTALL)
_NO_BRACKETS = bytes(code for code in range(256) if code not in b"[]{}")


def document_members(data: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object by name, each as JSON.

    Raises
    ------
    msgspec.DecodeError
        It is no object, or cut off. A member whose name can't be read is left out.
    """
    try:
        members = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        return {name: bytes(raw) for name, raw in members.items()}
    except (msgspec.DecodeError, RecursionError):
        return dict(_named(_split(data, b"{")))


def entries_of(data: bytes) -> list[bytes]:
    """Return the entries of a JSON array, each as JSON.

    Raises
    ------
    msgspec.DecodeError
        It is no array, or cut off.
    """
    try:
        return [bytes(raw) for raw in msgspec.json.decode(data, type=list[msgspec.Raw])]
    except (msgspec.DecodeError, RecursionError):
        return _split(data, b"[")


def decode_entry(data: bytes, model: type[Model], max_bytes: float) -> Model:
    """Decode one entry.

    Parameters
    ----------
    data : bytes
    model : type
    max_bytes : float
        Longest entry to decode.

    Raises
    ------
    msgspec.DecodeError
        It is malformed, too long, or nested too deep to be encoded again anywhere.
    """
    if len(data) > max_bytes:
        raise msgspec.DecodeError(f"{len(data)} bytes")
    if _is_deep(data) and _is_deep(_TOKEN.sub(_without_string, data)):
        raise msgspec.DecodeError("nested too deep")
    return msgspec.json.decode(data, type=model)


def decode_struct(
    data: bytes, model: type[Model], left_out: Callable[[str, Exception], None]
) -> Model:
    """Decode a struct, without those entries of its lists and dicts that can't be read.

    Parameters
    ----------
    data : bytes
    model : type
        A struct, encoded as an object.
    left_out : callable
        Takes the name of a field and the error of one of its entries.

    Raises
    ------
    msgspec.DecodeError
        A field that is no list or dict can't be read, or a required one is missing.
    """
    members = document_members(data)
    values: dict[str, Any] = {}
    for field in msgspec.structs.fields(model):
        if field.encode_name not in members:
            if field.required:
                raise msgspec.DecodeError(f"{field.name} is missing")
            continue
        member = members[field.encode_name]
        try:
            values[field.name] = decode_entry(member, field.type, math.inf)
        except (msgspec.DecodeError, RecursionError):
            values[field.name] = _readable_entries(member, field, left_out)
    return model(**values)


def _readable_entries(
    data: bytes,
    field: msgspec.structs.FieldInfo,
    left_out: Callable[[str, Exception], None],
) -> list | dict:
    """Return the entries of a list or dict that can be read.

    Raises
    ------
    msgspec.DecodeError
    """
    origin = get_origin(field.type)
    if origin is dict:
        entries = list(document_members(data).items())
    elif origin is list:
        entries = list(enumerate(entries_of(data)))
    else:
        raise msgspec.DecodeError(f"{field.name} can't be read")
    entry_type = get_args(field.type)[-1]
    readable = {}
    for key, entry in entries:
        try:
            readable[key] = decode_entry(entry, entry_type, math.inf)
        except (msgspec.DecodeError, RecursionError) as exc:
            left_out(field.name, exc)
    return readable if origin is dict else list(readable.values())


def _is_deep(data: bytes) -> bool:
    """Return whether pairs of brackets remain once the innermost are taken away."""
    brackets = data.translate(None, _NO_BRACKETS)
    for _ in range(MAX_DEPTH):
        brackets = brackets.replace(b"[]", b"").replace(b"{}", b"")
    return bool(brackets)


def _without_string(match: re.Match[bytes]) -> bytes:
    token = match.group()
    return b"" if token.startswith(b'"') else token


def _split(data: bytes, opening: bytes) -> list[bytes]:
    """Return what stands between the commas of the outermost brackets."""
    parts: list[bytes] = []
    depth = 0
    start = 0
    if not data.lstrip().startswith(opening):
        raise msgspec.DecodeError(f"expected {opening.decode()}")
    for match in _TOKEN.finditer(data):
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
            start = match.end() if depth == 1 else start
        elif token in (b"]", b"}"):
            depth -= 1
            if not depth:
                parts.append(data[start : match.start()])
                return [part for part in parts if part.strip()]
        elif token == b"," and depth == 1:
            parts.append(data[start : match.start()])
            start = match.end()
    raise msgspec.DecodeError("the document is cut off")


def _named(members: list[bytes]) -> Iterator[tuple[str, bytes]]:
    for member in members:
        match = _STRING.match(member)
        if match is None:
            continue
        _, colon, value = member[match.end() :].partition(b":")
        try:
            name = msgspec.json.decode(match.group(), type=str)
        except msgspec.DecodeError:
            continue
        if colon:
            yield name, value
