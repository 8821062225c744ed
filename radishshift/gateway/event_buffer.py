"""Events of a stream, cut at their borders and joined into few packets."""

from radishshift.errors import StreamBrokenError

__all__ = ["EventBuffer"]

BORDER = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1 << 20


class EventBuffer:
    """Passes on whole events and keeps the id of the last.

    Attributes
    ----------
    last_event_id : str
        Id of the last whole event that was taken, or empty.
    events : int
        Whole events taken.
    """

    def __init__(self) -> None:
        self.last_event_id = ""
        self.events = 0
        self._rest = b""

    @property
    def at_event_boundary(self) -> bool:
        """Tell whether nothing of an event is left over."""
        return not self._rest

    def feed(self, data: bytes) -> bytes:
        """Return the whole events up to here.

        Raises
        ------
        StreamBrokenError
            An event is longer than any should be.
        """
        data = self._rest + data
        end = data.rfind(BORDER)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise StreamBrokenError("an event is too long")
            self._rest = data
            return b""
        end += len(BORDER)
        self._rest = data[end:]
        taken = data[:end]
        self.events += taken.count(BORDER)
        self._note_last(taken)
        return taken

    def discard_partial_event(self) -> None:
        """Drop the part of an event that a broken connection left."""
        self._rest = b""

    def _note_last(self, taken: bytes) -> None:
        start = taken.rfind(BORDER, 0, len(taken) - len(BORDER))
        last = taken[start + len(BORDER) if start >= 0 else 0 :]
        for line in last.split(b"\n"):
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
