"""Requests that are being answered, so that a stopping host can end them."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from radishshift.errors import ShuttingDownError
from radishshift.verdicts import Verdict

__all__ = ["InFlightRequest", "InFlightRequests"]


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that has not ended.

    Attributes
    ----------
    request_id, customer : str
    task : asyncio.Task
    current_verdict : callable
        Returns whether it may have run so far.
    cancelled : bool
        Whether the host has given it up.
    """

    request_id: str
    customer: str
    task: asyncio.Task
    current_verdict: Callable[[], Verdict]
    cancelled: bool = False


class InFlightRequests:
    """All requests that are being answered, and work that follows them."""

    def __init__(self) -> None:
        self._requests: set[InFlightRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    @contextmanager
    def tracked(
        self, request_id: str, customer: str, current_verdict: Callable[[], Verdict]
    ) -> Iterator[None]:
        """Count the present task as one that answers a request.

        Raises
        ------
        ShuttingDownError
            The host gave the request up.
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
                "the host stopped before the answer was whole",
                verdict=current_verdict(),
            ) from None
        finally:
            self._requests.discard(request)

    def cancel_all(self) -> list[InFlightRequest]:
        """End all that runs; each caller gets a typed error with its verdict."""
        requests = list(self._requests)
        for request in requests:
            request.cancelled = True
            request.task.cancel()
        return requests
