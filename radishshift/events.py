"""Server-sent events of a stream, told apart without parsing the tokens.

An engine sends `data: {...}` blocks that end in an empty line; the last block but
one holds the usage, the last is `data: [DONE]`. JSON escapes quotes and newlines in
text, so the byte patterns below occur only where the protocol puts them.
"""

from dataclasses import dataclass

import msgspec

__all__ = ["DONE", "EventScanner", "Usage", "read_usage"]

BORDER = b"\n\n"
DONE = b"data: [DONE]\n\n"
USAGE_MARK = b'"usage":{'
SPACED_USAGE_MARK = b'"usage": {'


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of one attempt."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _UsageModel(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int


class _EventModel(msgspec.Struct):
    usage: _UsageModel | None = None


def read_usage(data: bytes) -> Usage | None:
    """Return the usage that a JSON answer or event holds, or None."""
    try:
        event = msgspec.json.decode(data, type=_EventModel)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if event.usage is None:
        return None
    return Usage(event.usage.prompt_tokens, event.usage.completion_tokens)


class EventScanner:
    """Splits a stream into what may be passed on and what ends it.

    Attributes
    ----------
    events : int
        Whole events passed on, which is the offset to resume from.
    usage : Usage or None
    done : bool
        Whether the end mark was seen.
    """

    def __init__(self, keep_usage: bool) -> None:
        self.events = 0
        self.usage: Usage | None = None
        self.done = False
        self._keep_usage = keep_usage
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events of `data` that go to the caller.

        The end mark is never among them: the caller gets it once the bill is
        safe.
        """
        if self._rest:
            data = self._rest + data
            self._rest = b""
        if not data.endswith(BORDER):
            data, border, self._rest = data.rpartition(BORDER)
            data += border
        if USAGE_MARK in data or SPACED_USAGE_MARK in data or DONE in data:
            return self._feed_slowly(data)
        self.events += data.count(BORDER)
        return data

    def _feed_slowly(self, data: bytes) -> bytes:
        passed = []
        for event in data.split(BORDER)[:-1]:
            whole = event + BORDER
            if whole == DONE:
                self.done = True
                continue
            self.events += 1
            if (USAGE_MARK in whole or SPACED_USAGE_MARK in whole) and self._take_usage(
                event
            ):
                continue
            passed.append(whole)
        return b"".join(passed)

    def _take_usage(self, event: bytes) -> bool:
        usage = read_usage(event.removeprefix(b"data: "))
        if usage is None:
            return False
        self.usage = usage
        return b'"choices":[]' in event and not self._keep_usage
