"""Queues of requests that wait to start: by class, then fairly between customers.

The class with the lowest priority number goes first, with a guaranteed minimum for the
others: each class that waits earns a small share of all work that is started, and goes
first once this credit covers its next request. A class also reserves part of the
concurrency limit for classes of higher priority, so that long answers that use up the
limit do not delay quick checks.

A request is refused on arrival if its expected wait is too long, and later as soon as
it can no longer start in time.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from radishshift.concurrency_limit import ConcurrencyLimit
from radishshift.contracts import Contract, TaskClass
from radishshift.errors import OverloadedError
from radishshift.fairness import FairQueue

__all__ = ["AdmissionQueue", "Ticket"]

CLASS_MIN_SHARE = 0.08
RESERVED_LIMIT_SHARE = 0.3
# Largest expected wait of a new request, as a share of the time left until its latest
# start; lower for a customer that was served more than the mean.
NEW_REQUEST_SLACK_SHARE = 0.7
ABOVE_MEAN_SLACK_SHARE = 0.1
CLASS_ACTIVE_S = 60.0
MEAN_WEIGHT = 0.05
STARTED_COST_DECAY_S = 5.0
# Factor on expected waits: rises with each accepted request that is refused later.
WAIT_FACTOR_MIN = 1.0
WAIT_FACTOR_MAX = 4.0
WAIT_FACTOR_INCREASE = 1.2
WAIT_FACTOR_DECREASE = 0.998
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 60.0


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that is waiting to start, or has started.

    Attributes
    ----------
    task_class : TaskClass
    contract : Contract
    cost : float
        Estimated cost in tokens.
    arrived, deadline : float
        Clock readings, in seconds.
    decide : callable
        Called once: with None when the request may start, or with the error that
        refuses it.
    latest_start : float
        Clock reading after which the request is refused rather than started.
    started : float or None
        Clock reading at the start, or None while the request waits.
    """

    task_class: TaskClass
    contract: Contract
    cost: float
    arrived: float
    deadline: float
    decide: Callable[[OverloadedError | None], None]
    latest_start: float = math.inf
    started: float | None = None


@dataclass(slots=True)
class _ClassState:
    """Queue and statistics of one task class.

    `credit` is the cost in tokens that the class may start ahead of classes of higher
    priority; it is earned while the class waits. `started_cost` is the cost of started
    requests in tokens, decayed exponentially, as of `started_cost_at`. `wait_factor`
    scales the expected wait.
    """

    task_class: TaskClass
    queue: FairQueue[Ticket] = field(default_factory=FairQueue)
    credit: float = 0.0
    started_cost: float = 0.0
    started_cost_at: float = 0.0
    mean_run_s: float = 0.0
    wait_factor: float = WAIT_FACTOR_MIN
    last_request_at: float = 0.0

    def recent_cost(self, now: float) -> float:
        return self.started_cost * math.exp(
            -max(0.0, now - self.started_cost_at) / STARTED_COST_DECAY_S
        )

    def record_start(self, cost: float, now: float) -> None:
        self.started_cost = self.recent_cost(now) + cost
        self.started_cost_at = max(now, self.started_cost_at)


class AdmissionQueue:
    """Queues of the requests that share a concurrency limit.

    Parameters
    ----------
    concurrency : ConcurrencyLimit
    """

    def __init__(self, concurrency: ConcurrencyLimit) -> None:
        self.concurrency = concurrency
        self._classes: dict[str, _ClassState] = {}
        self._mean_cost = 0.0
        self._mean_run_s = 0.0

    @property
    def waiting(self) -> int:
        """Return the number of requests that are waiting."""
        return sum(state.queue.length for state in self._classes.values())

    def offer(self, ticket: Ticket, now: float) -> None:
        """Start a request, queue it, or refuse it at once.

        Raises
        ------
        OverloadedError
        """
        state = self._record_arrival(ticket.task_class, now)
        # Leaves time for a run of mean duration, but at most half of the time until the
        # deadline.
        ticket.latest_start = min(
            ticket.arrived + ticket.task_class.queue_s,
            ticket.deadline - min(state.mean_run_s, (ticket.deadline - now) / 2),
        )
        if now > ticket.latest_start:
            raise self._refusal(self._wait_s(state, state.queue.cost, now))
        self._push(state, ticket)
        self.start_ready(now)
        if ticket.started is None:
            self.concurrency.record_waiting()
            self._shed(state, ticket, now)

    def _shed(self, state: _ClassState, newest: Ticket, now: float) -> None:
        """Refuse requests whose expected wait is too long.

        If the new request is one of them, those that would be refused only to make
        room for it keep their places.
        """
        refused = self._drop_late(state, newest, now)
        if newest in refused:
            error = refused.pop(newest)
            for ticket in reversed(refused):
                self._push(state, ticket)
            refused = {newest: error} | self._drop_late(state, newest, now)
        for ticket, error in refused.items():
            ticket.decide(error)

    def _drop_late(
        self, state: _ClassState, newest: Ticket, now: float
    ) -> dict[Ticket, OverloadedError]:
        """Drop requests at the tail of the queue whose expected wait is too long.

        The limit is stricter for a new request than for those already queued, so
        that few accepted requests have to be refused later. It is stricter still if
        the customer has been served more than others: such a customer would
        otherwise take all capacity that becomes free for a moment.
        """
        dropped = {}
        while (entry := state.queue.tail()) is not None:
            cost, ticket = entry
            wait_s = self._wait_s(state, state.queue.cost - cost, now)
            slack_s = ticket.latest_start - now
            if ticket is newest:
                is_above_mean = state.queue.has_above_mean_service(
                    ticket.contract.customer
                )
                slack_s *= (
                    ABOVE_MEAN_SLACK_SHARE if is_above_mean else NEW_REQUEST_SLACK_SHARE
                )
            if wait_s <= slack_s:
                break
            state.queue.drop_tail()
            dropped[ticket] = self._refusal(wait_s - slack_s)
        return dropped

    @staticmethod
    def _push(state: _ClassState, ticket: Ticket) -> None:
        contract = ticket.contract
        state.queue.push(contract.customer, contract.weight, ticket.cost, ticket)

    def _wait_s(self, state: _ClassState, cost_ahead: float, now: float) -> float:
        """Return the expected wait in seconds, given the cost queued ahead."""
        if not self._mean_run_s:
            return 0.0
        rate = self.concurrency.limit * self._mean_cost / self._mean_run_s
        higher_cost = sum(
            other.recent_cost(now)
            for other in self._classes.values()
            if other.task_class.priority < state.task_class.priority
        )
        started_cost = sum(other.recent_cost(now) for other in self._classes.values())
        share = 1.0 - higher_cost / started_cost if started_cost else 1.0
        slot_s = self._mean_run_s / self.concurrency.limit
        return slot_s + state.wait_factor * cost_ahead / (
            rate * max(share, CLASS_MIN_SHARE)
        )

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting request whose caller has disconnected."""
        state = self._classes[ticket.task_class.name]
        state.queue.remove(ticket.contract.customer, ticket)

    def finish(self, ticket: Ticket, cost: float, now: float) -> None:
        """Record that a request has ended; `cost` is its actual cost."""
        self.concurrency.release()
        state = self._classes[ticket.task_class.name]
        if ticket.started is not None and cost > 0:
            run_s = max(0.0, now - ticket.started)
            state.mean_run_s = _moving_average(state.mean_run_s, run_s)
            self._mean_cost = _moving_average(self._mean_cost, cost)
            self._mean_run_s = _moving_average(self._mean_run_s, run_s)
        state.queue.charge(ticket.contract.customer, cost - ticket.cost)
        self.start_ready(now)

    def expire(self, now: float) -> None:
        """Refuse waiting requests that can no longer start in time."""
        for state in self._classes.values():
            for ticket in state.queue.items():
                if ticket.latest_start <= now:
                    state.queue.remove(ticket.contract.customer, ticket)
                    self._refuse_late(state, ticket, now)

    def start_ready(self, now: float) -> None:
        """Start waiting requests as far as the concurrency limit allows."""
        while True:
            state = self._next_class(now)
            if state is None:
                return
            ticket = state.queue.pop()
            if ticket.latest_start < now:
                self._refuse_late(state, ticket, now)
                continue
            state.wait_factor = max(
                WAIT_FACTOR_MIN, state.wait_factor * WAIT_FACTOR_DECREASE
            )
            self._update_credits(state, ticket.cost, now)
            self.concurrency.acquire()
            ticket.started = now
            ticket.decide(None)

    def _record_arrival(self, task_class: TaskClass, now: float) -> _ClassState:
        state = self._classes.get(task_class.name)
        if state is None:
            state = _ClassState(task_class)
            self._classes[task_class.name] = state
        # The catalogue may have changed the class.
        state.task_class = task_class
        state.last_request_at = now
        return state

    def _refuse_late(self, state: _ClassState, ticket: Ticket, now: float) -> None:
        """Refuse an accepted request whose estimated wait was too low."""
        state.wait_factor = min(
            WAIT_FACTOR_MAX, state.wait_factor * WAIT_FACTOR_INCREASE
        )
        ticket.decide(self._refusal(self._wait_s(state, state.queue.cost, now)))

    def _next_class(self, now: float) -> _ClassState | None:
        if not self.concurrency.available:
            return None
        waiting = [state for state in self._classes.values() if state.queue.length]
        for state in waiting:
            head = state.queue.head()
            if head is not None and state.credit >= head[0]:
                return state
        eligible = [
            state
            for state in waiting
            if self.concurrency.available > self._reserved_for_higher(state, now)
        ]
        return min(eligible, key=lambda state: state.task_class.priority, default=None)

    def _reserved_for_higher(self, state: _ClassState, now: float) -> int:
        """Return the part of the limit that a class leaves to higher priorities."""
        priority = state.task_class.priority
        higher = any(
            other.task_class.priority < priority
            and now - other.last_request_at < CLASS_ACTIVE_S
            for other in self._classes.values()
        )
        limit = int(self.concurrency.limit)
        return min(math.ceil(RESERVED_LIMIT_SHARE * limit), limit - 1) if higher else 0

    def _update_credits(self, started: _ClassState, cost: float, now: float) -> None:
        started.record_start(cost, now)
        started.credit = max(0.0, started.credit - cost)
        for state in self._classes.values():
            head = state.queue.head()
            if state is started or head is None:
                continue
            state.credit = min(state.credit + CLASS_MIN_SHARE * cost, 2 * head[0])

    def _refusal(self, retry_after_s: float) -> OverloadedError:
        after_s = min(max(retry_after_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return OverloadedError(
            "the request could not start in time", retry_after_s=after_s
        )


def _moving_average(mean: float, sample: float) -> float:
    return sample if mean == 0 else mean + MEAN_WEIGHT * (sample - mean)
