"""Whole answers put together from the events of a stream.

A host always has an engine stream, so that a connection that goes silent is noticed
and resumed; a caller that wants a whole answer gets what the events add up to.
"""

from typing import Any

import msgspec

from radishshift.events import DATA_FIELD, EVENT_SEPARATOR

__all__ = ["assemble_answer"]

REPLACED_KEYS = frozenset({"index", "type", "id", "role", "finish_reason"})
OBJECTS = {"chat/completions": "chat.completion", "completions": "text_completion"}


def assemble_answer(events: bytes, operation: str) -> bytes:
    """Return the JSON answer that a stream's events add up to.

    Parameters
    ----------
    events : bytes
        Whole events without the end mark.
    operation : str
        `chat/completions` or `completions`.
    """
    answer: dict[str, Any] = {"object": OBJECTS[operation]}
    choices: dict[int, dict[str, Any]] = {}
    for event in _decode(events):
        for choice in event.pop("choices", None) or ():
            _merge(choices.setdefault(choice.get("index", 0), {}), choice)
        event.pop("object", None)
        answer |= {key: value for key, value in event.items() if value is not None}
    answer["choices"] = [_whole_choice(choices[index]) for index in sorted(choices)]
    return msgspec.json.encode(answer)


def _decode(events: bytes):
    for block in events.split(EVENT_SEPARATOR)[:-1]:
        _, _, data = block.rpartition(DATA_FIELD)
        yield msgspec.json.decode(data)


def _whole_choice(choice: dict[str, Any]) -> dict[str, Any]:
    delta = choice.pop("delta", None)
    if delta is not None:
        for call in delta.get("tool_calls") or ():
            call.pop("index", None)
        choice["message"] = {"role": "assistant", "content": None} | delta
    return choice


def _merge(whole: dict[str, Any], part: dict[str, Any]) -> None:
    """Add a part of an object to what came before it."""
    for key, value in part.items():
        held = whole.get(key)
        if held is None or key in REPLACED_KEYS:
            if value is not None or key not in whole:
                whole[key] = value
        elif isinstance(held, str) and isinstance(value, str):
            whole[key] = held + value
        elif isinstance(held, dict) and isinstance(value, dict):
            _merge(held, value)
        elif isinstance(held, list) and isinstance(value, list):
            _merge_lists(held, value)
        elif value is not None:
            whole[key] = value


def _merge_lists(whole: list[Any], part: list[Any]) -> None:
    """Add list items: those with an `index` to their like, others at the end."""
    for item in part:
        index = item.get("index") if isinstance(item, dict) else None
        like = [held for held in whole if index is not None and held["index"] == index]
        if like:
            _merge(like[0], item)
        else:
            whole.append(item)
