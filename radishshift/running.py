"""Requests that are being answered, so that a stopping host can end them."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from radishshift.errors import ShuttingDownError
from radishshift.verdicts import Verdict

__all__ = ["RunningRequest", "RunningRequests"]


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request that has not ended.

    Attributes
    ----------
    request_id, customer : str
    task : asyncio.Task
    verdict_now : callable
        Returns whether it may have run so far.
    cut : bool
        Whether the host has given it up.
    """

    request_id: str
    customer: str
    task: asyncio.Task
    verdict_now: Callable[[], Verdict]
    cut: bool = False


class RunningRequests:
    """All requests that are being answered, and work that follows them."""

    def __init__(self) -> None:
        self._requests: set[RunningRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    @contextmanager
    def entered(
        self, request_id: str, customer: str, verdict_now: Callable[[], Verdict]
    ) -> Iterator[None]:
        """Count the present task as one that answers a request.

        Raises
        ------
        ShuttingDownError
            The host gave the request up.
        """
        task = asyncio.current_task()
        request = RunningRequest(request_id, customer, task, verdict_now)
        self._requests.add(request)
        try:
            yield
        except asyncio.CancelledError:
            if not request.cut:
                raise
            task.uncancel()
            raise ShuttingDownError(
                "the host stopped before the answer was whole", verdict=verdict_now()
            ) from None
        finally:
            self._requests.discard(request)

    def cut(self) -> list[RunningRequest]:
        """End all that runs; each caller gets a typed error with its verdict."""
        requests = list(self._requests)
        for request in requests:
            request.cut = True
            request.task.cancel()
        return requests
