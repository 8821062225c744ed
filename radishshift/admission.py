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

FULL_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class AdmissionSlot:
    """A place that a request holds while it runs.

    Attributes
    ----------
    cost : float
        What the request has cost, in tokens; the estimate until it is set.
    """

    cost: float


class Admission:
    """Lets requests in while there is room, and lets the rest wait or go.

    Parameters
    ----------
    bound : int
        Requests that the host holds at once, running or waiting.
    clock : Clock, optional
    initial_limit : callable, optional
        Gives the room that a pool starts from.
    """

    def __init__(
        self,
        bound: int,
        clock: Clock | None = None,
        initial_limit: Callable[[str], float] | None = None,
    ) -> None:
        self._bound = bound
        self._initial_limit = initial_limit
        self._clock = SystemClock() if clock is None else clock
        self._pools: dict[str, AdmissionQueue] = {}
        self.running = 0
        self.closed = False

    def close(self) -> None:
        """Let no more requests in; those that wait still get their turn."""
        self.closed = True

    def pool(self, name: str) -> AdmissionQueue:
        """Return the places of the requests for one model or service."""
        pool = self._pools.get(name)
        if pool is None:
            start = (
                MIN_INITIAL_LIMIT
                if self._initial_limit is None
                else self._initial_limit(name)
            )
            pool = AdmissionQueue(ConcurrencyLimit(self._bound, start))
            self._pools[name] = pool
        return pool

    def record_first_token(
        self, pool: str, task_class: TaskClass, wait_s: float
    ) -> None:
        """Note how long an endpoint took to the first token, in seconds."""
        self.pool(pool).concurrency.record_first_token(task_class, wait_s)

    def record_complete_answer(
        self, pool: str, task_class: TaskClass, whole_s: float
    ) -> None:
        """Note how long an answer that comes in one piece took, in seconds."""
        self.pool(pool).concurrency.record_complete_answer(task_class, whole_s)

    def record_refusal(self, pool: str) -> None:
        """Note that an endpoint had no room for a request."""
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
        """Hold a place for a request, after a wait if need be.

        What was checked before is to be checked again inside: the wait may have
        been long.

        Raises
        ------
        ShuttingDownError
        OverloadedError
            The request has not run and its deadline could not be met.
        """
        if self.closed:
            raise ShuttingDownError("the host is leaving", retry_after_s=0.0)
        if self.running >= self._bound:
            raise OverloadedError("the host is full", retry_after_s=FULL_RETRY_AFTER_S)
        self.running += 1
        try:
            async with self._waited(
                self.pool(pool), task_class, contract, cost, deadline
            ) as place:
                yield place
        finally:
            self.running -= 1

    @asynccontextmanager
    async def _waited(
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
            if decided.done():
                return
            if error is None:
                decided.set_result(None)
            else:
                decided.set_exception(error)

        ticket = Ticket(task_class, contract, cost, now, deadline, decide)
        pool.offer(ticket, now)
        try:
            await self._decision(pool, ticket, decided)
        except asyncio.CancelledError:
            if ticket.started is None:
                pool.withdraw(ticket)
            else:
                pool.finish(ticket, 0.0, self._clock.now())
            raise
        place = AdmissionSlot(cost)
        try:
            yield place
        finally:
            pool.finish(ticket, place.cost, self._clock.now())

    async def _decision(
        self, pool: AdmissionQueue, ticket: Ticket, decided: asyncio.Future[None]
    ) -> None:
        if not decided.done():
            loop = asyncio.get_running_loop()
            wait_s = max(0.0, ticket.latest_start - self._clock.now())
            timer = loop.call_later(
                wait_s, lambda: pool.expire(max(self._clock.now(), ticket.latest_start))
            )
            try:
                await decided
            finally:
                timer.cancel()
        else:
            decided.result()
