"""Splits a stream of server-sent events at event boundaries."""

from radishshift.errors import EndlessAnswerError

__all__ = ["EventBuffer"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1 << 18


class EventBuffer:
    """Buffers partial events and tracks the id of the last complete one.

    Attributes
    ----------
    last_event_id : str
        Id of the last complete event, or empty.
    events : int
        Number of complete events received.
    """

    def __init__(self) -> None:
        self.last_event_id = ""
        self.events = 0
        self._partial = b""

    @property
    def at_event_boundary(self) -> bool:
        """Return whether no partial event is buffered."""
        return not self._partial

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete with these bytes.

        Raises
        ------
        EndlessAnswerError
            An event exceeds the size limit.
        """
        data = self._partial + data
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise EndlessAnswerError("an event is too long")
            self._partial = data
            return b""
        end += len(EVENT_END)
        self._partial = data[end:]
        complete = data[:end]
        self.events += complete.count(EVENT_END)
        self._record_last_id(complete)
        return complete

    def discard_partial_event(self) -> None:
        """Discard the partial event left by a broken connection."""
        self._partial = b""

    def _record_last_id(self, complete: bytes) -> None:
        start = complete.rfind(EVENT_END, 0, len(complete) - len(EVENT_END))
        last = complete[start + len(EVENT_END) if start >= 0 else 0 :]
        for line in last.split(b"\n"):
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
