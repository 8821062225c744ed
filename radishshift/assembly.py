"""Assembly of complete answers from the events of a stream.

A host always asks the engine for a stream, so that a stalled connection is detected and
the stream resumed. For a caller that wants a complete answer, the events are merged.
"""

from typing import Any

import msgspec

from radishshift.events import DATA_PREFIX, EVENT_SEPARATOR

__all__ = ["assemble_answer"]

OVERWRITTEN_KEYS = frozenset({"index", "type", "id", "role", "finish_reason"})
OBJECT_TYPES = {"chat/completions": "chat.completion", "completions": "text_completion"}


def assemble_answer(events: bytes, operation: str) -> bytes:
    """Merge the events of a stream into one JSON answer.

    Parameters
    ----------
    events : bytes
        Complete events without the end marker.
    operation : str
        `chat/completions` or `completions`.
    """
    answer: dict[str, Any] = {"object": OBJECT_TYPES[operation]}
    choices: dict[int, dict[str, Any]] = {}
    for event in _decode(events):
        for choice in event.pop("choices", None) or ():
            _merge(choices.setdefault(choice.get("index", 0), {}), choice)
        event.pop("object", None)
        answer |= {key: value for key, value in event.items() if value is not None}
    answer["choices"] = [_complete_choice(choices[index]) for index in sorted(choices)]
    return msgspec.json.encode(answer)


def _decode(events: bytes):
    for block in events.split(EVENT_SEPARATOR)[:-1]:
        for line in block.splitlines():
            if line.startswith(DATA_PREFIX):
                yield msgspec.json.decode(line.removeprefix(DATA_PREFIX))


def _complete_choice(choice: dict[str, Any]) -> dict[str, Any]:
    delta = choice.pop("delta", None)
    if delta is not None:
        for call in delta.get("tool_calls") or ():
            call.pop("index", None)
        choice["message"] = {"role": "assistant", "content": None} | delta
    return choice


def _merge(target: dict[str, Any], part: dict[str, Any]) -> None:
    """Merge a partial object into what was received before it."""
    for key, value in part.items():
        current = target.get(key)
        if current is None or key in OVERWRITTEN_KEYS:
            if value is not None or key not in target:
                target[key] = value
        elif isinstance(current, str) and isinstance(value, str):
            target[key] = current + value
        elif isinstance(current, dict) and isinstance(value, dict):
            _merge(current, value)
        elif isinstance(current, list) and isinstance(value, list):
            _merge_lists(current, value)
        elif value is not None:
            target[key] = value


def _merge_lists(target: list[Any], part: list[Any]) -> None:
    """Merge items by `index`; items without one, or with a new one, are appended."""
    for item in part:
        index = item.get("index") if isinstance(item, dict) else None
        matching = [
            current
            for current in target
            if index is not None and current["index"] == index
        ]
        if matching:
            _merge(matching[0], item)
        else:
            target.append(item)
