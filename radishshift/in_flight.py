"""Requests in flight, which a host cancels when it shuts down."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from radishshift.errors import ShuttingDownError
from radishshift.verdicts import Verdict

__all__ = ["InFlightRequest", "InFlightRequests"]


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is being answered.

    Attributes
    ----------
    request_id, customer : str
    task : asyncio.Task
    current_verdict : callable
        Returns whether the request may have run so far.
    cancelled : bool
        Whether the host cancelled the request because it shuts down.
    """

    request_id: str
    customer: str
    task: asyncio.Task
    current_verdict: Callable[[], Verdict]
    cancelled: bool = False


class InFlightRequests:
    """All requests that the host is answering."""

    def __init__(self) -> None:
        self._requests: set[InFlightRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    @contextmanager
    def tracked(
        self, request_id: str, customer: str, current_verdict: Callable[[], Verdict]
    ) -> Iterator[None]:
        """Register the current task as the one that answers a request.

        Raises
        ------
        ShuttingDownError
            The host cancelled the request.
        """
        task = asyncio.current_task()
        request = InFlightRequest(request_id, customer, task, current_verdict)
        self._requests.add(request)
        try:
            yield
        except asyncio.CancelledError:
            if not request.cancelled:
                raise
            task.uncancel()
            raise ShuttingDownError(
                "the host shut down before the answer was complete",
                verdict=current_verdict(),
            ) from None
        finally:
            self._requests.discard(request)

    def cancel_all(self) -> list[InFlightRequest]:
        """Cancel all requests; each caller gets a typed error with a verdict."""
        requests = list(self._requests)
        for request in requests:
            request.cancelled = True
            request.task.cancel()
        return requests
