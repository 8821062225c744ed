"""Admission of requests to an entry host."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from radishshift.admission_queue import AdmissionQueue, Ticket
from radishshift.clocks import Clock, SystemClock
from radishshift.concurrency_limit import MIN_INITIAL_LIMIT, ConcurrencyLimit
from radishshift.contracts import Contract, TaskClass
from radishshift.errors import OverloadedError, ShuttingDownError

__all__ = ["Admission", "AdmissionSlot"]

HOST_FULL_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class AdmissionSlot:
    """Admission of one request, valid while it runs.

    Attributes
    ----------
    cost : float
        Cost of the request in tokens; the estimate until the actual cost is set.
    """

    cost: float


class Admission:
    """Starts requests up to a concurrency limit, and queues or refuses the rest.

    Parameters
    ----------
    max_requests : int
        Most requests that the host holds at once, running or waiting.
    clock : Clock, optional
    initial_limit : callable, optional
        Returns the initial concurrency limit of a pool.

    Attributes
    ----------
    request_count : int
        Requests that the host holds now, running or waiting.
    closed : bool
        Whether new requests are refused.
    """

    def __init__(
        self,
        max_requests: int,
        clock: Clock | None = None,
        initial_limit: Callable[[str], float] | None = None,
    ) -> None:
        self._max_requests = max_requests
        self._initial_limit = initial_limit
        self._clock = SystemClock() if clock is None else clock
        self._pools: dict[str, AdmissionQueue] = {}
        self.request_count = 0
        self.closed = False

    def close(self) -> None:
        """Refuse new requests; those already waiting still run."""
        self.closed = True

    def pool(self, name: str) -> AdmissionQueue:
        """Return the queue for a model or service, by its name."""
        pool = self._pools.get(name)
        if pool is None:
            initial = (
                MIN_INITIAL_LIMIT
                if self._initial_limit is None
                else self._initial_limit(name)
            )
            pool = AdmissionQueue(ConcurrencyLimit(self._max_requests, initial))
            self._pools[name] = pool
        return pool

    def record_first_token(
        self, pool: str, task_class: TaskClass, wait_s: float
    ) -> None:
        """Record the time to first token of an attempt, in seconds."""
        self.pool(pool).concurrency.record_first_token(task_class, wait_s)

    def record_complete_answer(
        self, pool: str, task_class: TaskClass, duration_s: float
    ) -> None:
        """Record the duration of a non-streamed answer, in seconds."""
        self.pool(pool).concurrency.record_complete_answer(task_class, duration_s)

    def record_refusal(self, pool: str) -> None:
        """Record that an endpoint refused a request for lack of capacity."""
        self.pool(pool).concurrency.record_refusal()

    @asynccontextmanager
    async def admitted(
        self,
        task_class: TaskClass,
        contract: Contract,
        cost: float,
        deadline: float,
        pool: str = "",
    ) -> AsyncIterator[AdmissionSlot]:
        """Admit a request for the duration of the block, waiting if necessary.

        The wait may be long, so the block has to repeat checks that were made
        before it.

        Raises
        ------
        ShuttingDownError
        OverloadedError
            The request has not run: its deadline could not be met, or the host holds
            `max_requests`.
        """
        if self.closed:
            raise ShuttingDownError("the host is shutting down", retry_after_s=0.0)
        if self.request_count >= self._max_requests:
            raise OverloadedError(
                "the host has reached its limit of requests",
                retry_after_s=HOST_FULL_RETRY_AFTER_S,
            )
        self.request_count += 1
        try:
            async with self._wait_and_run(
                self.pool(pool), task_class, contract, cost, deadline
            ) as slot:
                yield slot
        finally:
            self.request_count -= 1

    @asynccontextmanager
    async def _wait_and_run(
        self,
        pool: AdmissionQueue,
        task_class: TaskClass,
        contract: Contract,
        cost: float,
        deadline: float,
    ) -> AsyncIterator[AdmissionSlot]:
        now = self._clock.now()
        decided: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def decide(error: OverloadedError | None) -> None:
            # The caller may have disconnected, which cancels the future.
            if decided.done():
                return
            if error is None:
                decided.set_result(None)
            else:
                decided.set_exception(error)

        ticket = Ticket(task_class, contract, cost, now, deadline, decide)
        pool.offer(ticket, now)
        try:
            await self._wait_for_decision(pool, ticket, decided)
        except asyncio.CancelledError:
            if ticket.started is None:
                pool.withdraw(ticket)
            else:
                pool.finish(ticket, 0.0, self._clock.now())
            raise
        slot = AdmissionSlot(cost)
        try:
            yield slot
        finally:
            pool.finish(ticket, slot.cost, self._clock.now())

    async def _wait_for_decision(
        self, pool: AdmissionQueue, ticket: Ticket, decided: asyncio.Future[None]
    ) -> None:
        if not decided.done():
            loop = asyncio.get_running_loop()
            wait_s = max(0.0, ticket.latest_start - self._clock.now())
            # The timer may fire slightly early.
            timer = loop.call_later(
                wait_s, lambda: pool.expire(max(self._clock.now(), ticket.latest_start))
            )
            try:
                await decided
            finally:
                timer.cancel()
        else:
            decided.result()
