"""Requests that wait for concurrency: by class, then fairly between customers.

The class that goes first is the one of the lowest priority number, but for a floor:
of all work that is started, each class that waits is owed a small share, and goes
first once that share covers its next request. A class also leaves a few places to
those above it, so that a full house of long answers does not hold up quick checks.

A request is refused when it comes if its wait is expected to be too long, and later
at the moment at which it can no longer start in time.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from radishshift.concurrency_limit import ConcurrencyLimit
from radishshift.contracts import Contract, TaskClass
from radishshift.errors import OverloadedError
from radishshift.fairness import FairQueue

__all__ = ["AdmissionQueue", "Ticket"]

CLASS_FLOOR = 0.08
RESERVED_SHARE = 0.3
ENTRY_SHARE = 0.7
LEADER_ENTRY_SHARE = 0.1
SEEN_S = 60.0
SMOOTHING = 0.05
STARTED_WORK_DECAY_S = 5.0
CAUTION_MIN = 1.0
CAUTION_MAX = 4.0
CAUTION_UP = 1.2
CAUTION_DOWN = 0.998
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 60.0


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that wants a place.

    Attributes
    ----------
    task_class : TaskClass
    contract : Contract
    cost : float
        Estimate in tokens.
    arrived, deadline : float
        Instants.
    decide : callable
        Called once: with None when the request may start, or with why not.
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
class _ClassLine:
    task_class: TaskClass
    queue: FairQueue[Ticket] = field(default_factory=FairQueue)
    owed: float = 0.0
    begun: float = 0.0
    begun_at: float = 0.0
    held_s: float = 0.0
    caution: float = CAUTION_MIN
    seen_at: float = 0.0

    def recently_begun(self, now: float) -> float:
        return self.begun * math.exp(
            -max(0.0, now - self.begun_at) / STARTED_WORK_DECAY_S
        )

    def begin(self, cost: float, now: float) -> None:
        self.begun = self.recently_begun(now) + cost
        self.begun_at = max(now, self.begun_at)


class AdmissionQueue:
    """Places and queues for requests that share endpoints.

    Parameters
    ----------
    concurrency : ConcurrencyLimit
    """

    def __init__(self, concurrency: ConcurrencyLimit) -> None:
        self.concurrency = concurrency
        self._lines: dict[str, _ClassLine] = {}
        self._mean_cost = 0.0
        self._mean_held_s = 0.0

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return sum(line.queue.length for line in self._lines.values())

    def offer(self, ticket: Ticket, now: float) -> None:
        """Start a request, let it wait, or refuse it at once.

        Raises
        ------
        OverloadedError
        """
        line = self._line(ticket.task_class, now)
        ticket.latest_start = min(
            ticket.arrived + ticket.task_class.queue_s,
            ticket.deadline - min(line.held_s, (ticket.deadline - now) / 2),
        )
        if now > ticket.latest_start:
            raise self._refusal(self._wait_s(line, line.queue.cost, now))
        contract = ticket.contract
        line.queue.push(contract.customer, contract.weight, ticket.cost, ticket)
        self.start_ready(now)
        if ticket.started is None:
            self.concurrency.record_waiting()
            self._shed(line, ticket, now)

    def _shed(self, line: _ClassLine, newest: Ticket, now: float) -> None:
        """Refuse those served last whose wait has grown too long.

        A new one is held to a stricter bound than those which wait already, so
        that few of those let in have to be refused later; stricter still if its
        customer has had more than others, or it would win the quiet moments.
        """
        while (last := line.queue.tail()) is not None:
            cost, ticket = last
            wait_s = self._wait_s(line, line.queue.cost - cost, now)
            slack_s = ticket.latest_start - now
            if ticket is newest:
                leads = line.queue.has_above_mean_service(ticket.contract.customer)
                slack_s *= LEADER_ENTRY_SHARE if leads else ENTRY_SHARE
            if wait_s <= slack_s:
                return
            line.queue.drop_tail()
            ticket.decide(self._refusal(wait_s - slack_s))

    def _wait_s(self, line: _ClassLine, ahead: float, now: float) -> float:
        """Return how long a request waits that has some cost ahead of it."""
        if not self._mean_held_s:
            return 0.0
        rate = self.concurrency.limit * self._mean_cost / self._mean_held_s
        above = sum(
            other.recently_begun(now)
            for other in self._lines.values()
            if other.task_class.priority < line.task_class.priority
        )
        begun = sum(other.recently_begun(now) for other in self._lines.values())
        share = 1.0 - above / begun if begun else 1.0
        slot_s = self._mean_held_s / self.concurrency.limit
        return slot_s + line.caution * ahead / (rate * max(share, CLASS_FLOOR))

    def withdraw(self, ticket: Ticket) -> None:
        """Forget a request whose caller has gone while it waited."""
        line = self._lines[ticket.task_class.name]
        line.queue.remove(ticket.contract.customer, ticket)

    def finish(self, ticket: Ticket, cost: float, now: float) -> None:
        """Take a place back; `cost` is what the request really took."""
        self.concurrency.release()
        line = self._lines[ticket.task_class.name]
        if ticket.started is not None and cost > 0:
            held_s = max(0.0, now - ticket.started)
            line.held_s = _smooth(line.held_s, held_s)
            self._mean_cost = _smooth(self._mean_cost, cost)
            self._mean_held_s = _smooth(self._mean_held_s, held_s)
        line.queue.charge(ticket.contract.customer, cost - ticket.cost)
        self.start_ready(now)

    def expire(self, now: float) -> None:
        """Refuse what can no longer start in time."""
        for line in self._lines.values():
            for ticket in line.queue.items():
                if ticket.latest_start <= now:
                    line.queue.remove(ticket.contract.customer, ticket)
                    self._give_up(line, ticket, now)

    def start_ready(self, now: float) -> None:
        """Start what there is room for."""
        while True:
            line = self._next_line(now)
            if line is None:
                return
            ticket = line.queue.pop()
            if ticket.latest_start < now:
                self._give_up(line, ticket, now)
                continue
            line.caution = max(CAUTION_MIN, line.caution * CAUTION_DOWN)
            self._account(line, ticket.cost, now)
            self.concurrency.acquire()
            ticket.started = now
            ticket.decide(None)

    def _line(self, task_class: TaskClass, now: float) -> _ClassLine:
        line = self._lines.get(task_class.name)
        if line is None:
            line = _ClassLine(task_class)
            self._lines[task_class.name] = line
        line.task_class = task_class
        line.seen_at = now
        return line

    def _give_up(self, line: _ClassLine, ticket: Ticket, now: float) -> None:
        """Refuse what was let in on an estimate that proved too low."""
        line.caution = min(CAUTION_MAX, line.caution * CAUTION_UP)
        ticket.decide(self._refusal(self._wait_s(line, line.queue.cost, now)))

    def _next_line(self, now: float) -> _ClassLine | None:
        if not self.concurrency.available:
            return None
        waiting = [line for line in self._lines.values() if line.queue.length]
        for line in waiting:
            head = line.queue.head()
            if head is not None and line.owed >= head[0]:
                return line
        able = [
            line
            for line in waiting
            if self.concurrency.available > self._reserved(line, now)
        ]
        return min(able, key=lambda line: line.task_class.priority, default=None)

    def _reserved(self, line: _ClassLine, now: float) -> int:
        """Return the places that a class leaves to those above it."""
        priority = line.task_class.priority
        above = any(
            other.task_class.priority < priority and now - other.seen_at < SEEN_S
            for other in self._lines.values()
        )
        limit = int(self.concurrency.limit)
        return min(math.ceil(RESERVED_SHARE * limit), limit - 1) if above else 0

    def _account(self, begun: _ClassLine, cost: float, now: float) -> None:
        begun.begin(cost, now)
        begun.owed = max(0.0, begun.owed - cost)
        for line in self._lines.values():
            head = line.queue.head()
            if line is begun or head is None:
                continue
            line.owed = min(line.owed + CLASS_FLOOR * cost, 2 * head[0])

    def _refusal(self, retry_after_s: float) -> OverloadedError:
        after_s = min(max(retry_after_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return OverloadedError(
            "the request could not start in time", retry_after_s=after_s
        )


def _smooth(held: float, sample: float) -> float:
    return sample if held == 0 else held + SMOOTHING * (sample - held)
