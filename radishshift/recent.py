"""Bounded memory of what was last heard of."""

from collections import OrderedDict
from typing import TypeVar

__all__ = ["put_newest"]

Key = TypeVar("Key")
Value = TypeVar("Value")


def put_newest(
    recent: OrderedDict[Key, Value], key: Key, value: Value, most: int
) -> None:
    """Put a value at the end, and drop the first if there are then more than `most`."""
    recent[key] = value
    recent.move_to_end(key)
    if len(recent) > most:
        recent.popitem(last=False)
