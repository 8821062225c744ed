"""Server-sent events of a stream, checked one by one before they are passed on.

An engine sends blocks that end in an empty line: `data: {...}`, with its own `id`
of the stream in the JSON object, and before it, if the engine numbers its events,
a line `id: N` that counts from 0. The last block but one holds the usage, the last
is `data: [DONE]`. JSON escapes newlines in text, so an empty line is a border.
"""

from dataclasses import dataclass
from typing import Any

import msgspec

from radishshift.errors import EndpointError, StreamBrokenError

__all__ = [
    "DONE_EVENT",
    "EVENT_SEPARATOR",
    "EventScanner",
    "Usage",
    "read_usage",
    "skip_events",
]

EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
NUMBER_FIELD = b"id: "
DATA_FIELD = b"data: "
EVENT_BYTES_MAX = 1 << 20
MALFORMED = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of one attempt."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _UsageModel(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int


class _EventModel(msgspec.Struct):
    id: str = ""
    choices: list[msgspec.Raw] | None = None
    usage: _UsageModel | None = None
    error: Any = None


class _PlainEventModel(msgspec.Struct):
    """What tells an event of tokens from all others."""

    id: str = ""
    usage: _UsageModel | None = None
    error: Any = None


_decoder = msgspec.json.Decoder(_EventModel)
_decode_plain = msgspec.json.Decoder(_PlainEventModel).decode


def read_usage(data: bytes) -> Usage | None:
    """Return the usage that a JSON answer or event holds, or None."""
    try:
        event = _decoder.decode(data)
    except MALFORMED:
        return None
    return _usage_of(event)


def _usage_of(event: _EventModel) -> Usage | None:
    if event.usage is None:
        return None
    return Usage(event.usage.prompt_tokens, event.usage.completion_tokens)


def _is_utf8(data: bytes) -> bool:
    if data.isascii():
        return True
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True


def skip_events(data: bytes | bytearray, events: int) -> int:
    """Return the position behind the first `events` events, or the end."""
    position = 0
    for _ in range(events):
        border = data.find(EVENT_SEPARATOR, position)
        if border < 0:
            return len(data)
        position = border + len(EVENT_SEPARATOR)
    return position


class EventScanner:
    """Splits a stream into what may be passed on and what ends it.

    Parameters
    ----------
    keep_usage : bool
        Whether the caller asked for the event that holds only the usage.
    stream_id : str
        Each event's `id` must end with it; empty if no id is checked.

    Attributes
    ----------
    events : int
        Whole events taken, which is the offset to resume from.
    usage : Usage or None
    done : bool
        Whether the end mark was seen.
    deferred_error : EndpointError or None
        What was wrong behind the events that `feed` returned last.
    """

    def __init__(self, keep_usage: bool, stream_id: str = "") -> None:
        self.events = 0
        self.usage: Usage | None = None
        self.done = False
        self.deferred_error: EndpointError | None = None
        self._keep_usage = keep_usage
        self._stream_id = stream_id
        self._numbered = False
        self._whole_id: str | None = None
        self._rest = b""

    def discard_partial_event(self) -> None:
        """Forget a part of an event; the next bytes come from a new connection."""
        self._rest = b""
        self.deferred_error = None

    def feed(self, data: bytes) -> bytes:
        """Return the whole events of `data` that go to the caller.

        The end mark is never among them: the caller gets it once the bill is
        safe. Events that came before are left out.

        Raises
        ------
        StreamBrokenError
            An event is malformed, missing, or another stream's.
        EndpointError
            The engine gave up the stream.
        """
        if self.deferred_error is not None:
            raise self.deferred_error
        if self._rest:
            data = self._rest + data
            self._rest = b""
        if self._is_plain(data):
            self.events += 1
            return data
        return self._feed_slowly(data)

    def _feed_slowly(self, data: bytes) -> bytes:
        *blocks, rest = data.split(EVENT_SEPARATOR)
        if len(rest) > EVENT_BYTES_MAX:
            raise StreamBrokenError("the endpoint sent an event without an end")
        passed = []
        try:
            for block in blocks:
                if not self.done and self._take(block):
                    passed.append(block + EVENT_SEPARATOR)
        except EndpointError as exc:
            if not passed:
                raise
            self.deferred_error = exc
        if not self.done:
            self._rest = rest
        return b"".join(passed)

    def _is_plain(self, data: bytes) -> bool:
        """Tell whether `data` is just the next event of tokens."""
        head = DATA_FIELD
        if self._numbered:
            head = b"id: %d\ndata: " % self.events
        if not data.startswith(head) or data.find(EVENT_SEPARATOR) != len(data) - 2:
            return False
        try:
            event = _decode_plain(data[len(head) :])
        except MALFORMED:
            return False
        return (
            event.usage is None
            and event.error is None
            and event.id == self._whole_id
            and _is_utf8(data)
            and not self.done
        )

    def _take(self, block: bytes) -> bool:
        """Check an event; tell whether it goes to the caller."""
        if block.startswith(b":"):
            return False
        number, body = self._split(block)
        if body == b"[DONE]":
            self.done = True
            return False
        if number is not None and number != self.events:
            if number < self.events:
                return False
            raise StreamBrokenError("events of the stream are missing")
        if number is None and self._numbered:
            raise StreamBrokenError("an event of the stream has no number")
        event = self._decode(body)
        self._numbered = number is not None
        self._whole_id = event.id
        self.events += 1
        if event.usage is None:
            return True
        self.usage = _usage_of(event)
        return bool(event.choices) or self._keep_usage

    def _split(self, block: bytes) -> tuple[int | None, bytes]:
        number = None
        if block.startswith(NUMBER_FIELD):
            line, _, block = block.partition(b"\n")
            digits = line.removeprefix(NUMBER_FIELD)
            if not digits.isdigit() or len(digits) > 18:
                raise StreamBrokenError("an event's number is malformed")
            number = int(digits)
        if not block.startswith(DATA_FIELD) or b"\n" in block:
            raise StreamBrokenError("the endpoint sent what is no event")
        return number, block.removeprefix(DATA_FIELD)

    def _decode(self, body: bytes) -> _EventModel:
        try:
            event = _decoder.decode(body)
            body.decode()
        except MALFORMED as exc:
            raise StreamBrokenError("the endpoint sent a malformed event") from exc
        if event.error is not None:
            raise EndpointError("the endpoint gave up the stream")
        if not event.id.endswith(self._stream_id):
            raise StreamBrokenError("the endpoint sent another stream's event")
        return event
