"""Admission of requests to an entry host."""

from collections.abc import Iterator
from contextlib import contextmanager

from radishshift.errors import OverloadedError, ShuttingDownError

__all__ = ["Admission"]


class Admission:
    """Lets requests in while there is room.

    Parameters
    ----------
    bound : int
        Requests that may be running at once.
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self.running = 0
        self.closed = False

    def close(self) -> None:
        """Let no more requests in."""
        self.closed = True

    @contextmanager
    def entered(self) -> Iterator[None]:
        """Hold a place for a request.

        Raises
        ------
        ShuttingDownError
        OverloadedError
        """
        if self.closed:
            raise ShuttingDownError("the host is leaving", retry_after_s=0.0)
        if self.running >= self._bound:
            raise OverloadedError("the host is full", retry_after_s=1.0)
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
