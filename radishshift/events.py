"""Validation of the server-sent events of an engine stream before they are relayed.

An engine sends blocks that end in an empty line: `data: {...}`, where the JSON object
holds the stream's `id`, preceded by a line `id: N` that counts from 0 if the engine
numbers its events. The last block but one holds the usage, the last one is
`data: [DONE]`. As that bears no id, it ends only a stream with an event. JSON escapes
newlines in text, so an empty line always separates events.
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
ID_PREFIX = b"id: "
DATA_PREFIX = b"data: "
EVENT_MAX_BYTES = 1 << 20
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


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


class _TokenEventModel(msgspec.Struct):
    """The fields that tell a token event from other events."""

    id: str = ""
    usage: _UsageModel | None = None
    error: Any = None


_decoder = msgspec.json.Decoder(_EventModel)
_decode_token_event = msgspec.json.Decoder(_TokenEventModel).decode


def read_usage(data: bytes) -> Usage | None:
    """Return the usage that a JSON answer or event holds, or None."""
    try:
        event = _decoder.decode(data)
    except DECODE_ERRORS:
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
    """Return the offset after the first `events` events, or the length of `data`."""
    position = 0
    for _ in range(events):
        end = data.find(EVENT_SEPARATOR, position)
        if end < 0:
            return len(data)
        position = end + len(EVENT_SEPARATOR)
    return position


class EventScanner:
    """Splits a stream into events to relay and the usage, end marker or error.

    Parameters
    ----------
    keep_usage : bool
        Whether the caller asked for the event that holds only the usage.
    stream_id : str
        Each event's `id` must end with it; empty if no id is checked.

    Attributes
    ----------
    events : int
        Complete events accepted, which is the offset to resume from.
    usage : Usage or None
    done : bool
        Whether the end marker was received.
    deferred_error : EndpointError or None
        Error found after the events that `feed` last returned; the next `feed` raises
        it.
    """

    def __init__(self, keep_usage: bool, stream_id: str = "") -> None:
        self.events = 0
        self.usage: Usage | None = None
        self.done = False
        self.deferred_error: EndpointError | None = None
        self._keep_usage = keep_usage
        self._stream_id = stream_id
        self._numbered = False
        self._event_id: str | None = None
        self._partial = b""

    def discard_partial_event(self) -> None:
        """Drop a partial event and a deferred error before reading a new connection."""
        self._partial = b""
        self.deferred_error = None

    def feed(self, data: bytes) -> bytes:
        """Return the complete events in `data` that are to be sent to the caller.

        The end marker is never among them, as the caller gets it only after the
        bill is stored safely. Duplicates of earlier events are dropped.

        Raises
        ------
        StreamBrokenError
            An event is malformed, missing, or from another stream; or the end marker
            comes before any event.
        EndpointError
            The engine sent an error event.
        """
        if self.deferred_error is not None:
            raise self.deferred_error
        if self._partial:
            data = self._partial + data
            self._partial = b""
        if self._is_next_token_event(data):
            self.events += 1
            return data
        return self._feed_blocks(data)

    def _feed_blocks(self, data: bytes) -> bytes:
        *blocks, partial = data.split(EVENT_SEPARATOR)
        if len(partial) > EVENT_MAX_BYTES:
            raise StreamBrokenError(
                "the endpoint sent an event that exceeds the size limit"
            )
        accepted = []
        try:
            for block in blocks:
                if not self.done and self._accept(block):
                    accepted.append(block + EVENT_SEPARATOR)
        except EndpointError as exc:
            if not accepted:
                raise
            # The accepted events are relayed first; the next `feed` raises the error.
            self.deferred_error = exc
        if not self.done:
            self._partial = partial
        return b"".join(accepted)

    def _is_next_token_event(self, data: bytes) -> bool:
        """Tell whether `data` is exactly the next token event, as most reads return.

        Such an event skips the slower parsing in `_feed_blocks`.
        """
        prefix = DATA_PREFIX
        if self._numbered:
            prefix = b"id: %d\ndata: " % self.events
        if not data.startswith(prefix) or data.find(EVENT_SEPARATOR) != len(data) - 2:
            return False
        try:
            event = _decode_token_event(data[len(prefix) :])
        except DECODE_ERRORS:
            return False
        return (
            event.usage is None
            and event.error is None
            and event.id == self._event_id
            and _is_utf8(data)
            and not self.done
        )

    def _accept(self, block: bytes) -> bool:
        """Validate an event; tell whether it is to be sent to the caller."""
        if block.startswith(b":"):
            return False
        number, body = self._split(block)
        if body == b"[DONE]":
            if not self.events:
                raise StreamBrokenError("the stream ended without an event")
            self.done = True
            return False
        if number is not None and number != self.events:
            if number < self.events:
                return False
            raise StreamBrokenError("events of the stream are missing")
        if number is None and self._numbered:
            raise StreamBrokenError("an event of the stream has no id line")
        event = self._decode(body)
        self._numbered = number is not None
        self._event_id = event.id
        self.events += 1
        if event.usage is None:
            return True
        self.usage = _usage_of(event)
        return bool(event.choices) or self._keep_usage

    def _split(self, block: bytes) -> tuple[int | None, bytes]:
        number = None
        if block.startswith(ID_PREFIX):
            line, _, block = block.partition(b"\n")
            digits = line.removeprefix(ID_PREFIX)
            if not digits.isdigit() or len(digits) > 18:
                raise StreamBrokenError(
                    "an event of the stream has a malformed id line"
                )
            number = int(digits)
        if not block.startswith(DATA_PREFIX) or b"\n" in block:
            raise StreamBrokenError("the endpoint sent a block that is not an event")
        return number, block.removeprefix(DATA_PREFIX)

    def _decode(self, body: bytes) -> _EventModel:
        try:
            event = _decoder.decode(body)
            body.decode()
        except DECODE_ERRORS as exc:
            raise StreamBrokenError("the endpoint sent a malformed event") from exc
        if event.error is not None:
            raise EndpointError("the endpoint sent an error event")
        if not event.id.endswith(self._stream_id):
            raise StreamBrokenError("the endpoint sent an event of another stream")
        return event
