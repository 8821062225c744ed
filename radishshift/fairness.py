"""Weighted fair queueing between customers, by cost in tokens."""

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

T = TypeVar("T")
MIN_WEIGHT = 1e-9
# Multiple of the largest credit at which an idle customer is removed.
IDLE_REMOVAL_CREDIT_MULTIPLE = 4.0


@dataclass(slots=True)
class _CustomerQueue(Generic[T]):
    """Queue of one customer, and the virtual start time of its next item."""

    weight: float
    virtual_start: float
    items: deque[tuple[float, T]]
    cost: float = 0.0


class FairQueue(Generic[T]):
    """Start-time fair queue: waiting customers are served in proportion to weights.

    A customer's virtual start time advances only by the cost of items that are
    popped, so an item that is removed costs it nothing. A customer with an empty queue
    keeps a bounded credit: without it, one whose few requests arrive one at a time
    would lose its share to one that always has some waiting.

    Parameters
    ----------
    credit_items : int
        Limit on the credit, in items of the largest cost.
    """

    def __init__(self, credit_items: int = 20) -> None:
        self._credit_items = credit_items
        self._max_cost = 0.0
        self._customers: dict[str, _CustomerQueue[T]] = {}
        self._virtual_time = 0.0
        self.cost = 0.0
        self.length = 0

    def push(self, customer: str, weight: float, cost: float, item: T) -> None:
        """Append an item to the customer's queue."""
        self._max_cost = max(self._max_cost, cost)
        queue = self._customers.get(customer)
        if queue is None:
            queue = _CustomerQueue(weight, self._virtual_time, deque())
            self._customers[customer] = queue
        queue.weight = max(weight, MIN_WEIGHT)
        if not queue.items:
            queue.virtual_start = max(queue.virtual_start, self._earliest_start())
        queue.items.append((cost, item))
        queue.cost += cost
        self.cost += cost
        self.length += 1

    def head(self) -> tuple[float, T] | None:
        """Return the cost and the item that is served next, or None."""
        queue = self._next_queue()
        return None if queue is None else queue.items[0]

    def pop(self) -> T:
        """Remove and return the item that is served next."""
        queue = self._next_queue()
        if queue is None:
            raise IndexError("the queue is empty")
        cost, item = queue.items.popleft()
        self._subtract_cost(queue, cost)
        self._virtual_time = max(self._virtual_time, queue.virtual_start)
        queue.virtual_start += cost / queue.weight
        self._remove_idle()
        return item

    def remove(self, customer: str, item: T) -> bool:
        """Remove an item that is no longer wanted; tell whether it was queued."""
        queue = self._customers.get(customer)
        if queue is None:
            return False
        for entry in queue.items:
            if entry[1] is item:
                queue.items.remove(entry)
                self._subtract_cost(queue, entry[0])
                return True
        return False

    def charge(self, customer: str, cost: float) -> None:
        """Charge a customer for a cost beyond the estimate; negative if below it."""
        queue = self._customers.get(customer)
        if queue is not None:
            queue.virtual_start += cost / queue.weight

    def has_above_mean_service(self, customer: str) -> bool:
        """Tell whether a customer has used more, by weight, than the mean of all."""
        mean = sum(queue.virtual_start for queue in self._customers.values()) / len(
            self._customers
        )
        return self._customers[customer].virtual_start > mean

    def tail(self) -> tuple[float, T] | None:
        """Return the cost and the item that is served last, or None."""
        queue = self._last_queue()
        return None if queue is None else queue.items[-1]

    def drop_tail(self) -> T:
        """Remove and return the item that would be served last."""
        queue = self._last_queue()
        if queue is None:
            raise IndexError("the queue is empty")
        cost, item = queue.items.pop()
        self._subtract_cost(queue, cost)
        return item

    def items(self) -> list[T]:
        """Return all queued items."""
        return [item for queue in self._customers.values() for _, item in queue.items]

    def _earliest_start(self, multiple: float = 1.0) -> float:
        """Return the virtual start time of a multiple of the largest credit."""
        weight = sum(queue.weight for queue in self._customers.values()) / len(
            self._customers
        )
        return (
            self._virtual_time - multiple * self._credit_items * self._max_cost / weight
        )

    def _next_queue(self) -> _CustomerQueue[T] | None:
        waiting = (queue for queue in self._customers.values() if queue.items)
        return min(waiting, key=lambda queue: queue.virtual_start, default=None)

    def _last_queue(self) -> _CustomerQueue[T] | None:
        waiting = (queue for queue in self._customers.values() if queue.items)
        return max(
            waiting,
            key=lambda queue: queue.virtual_start + queue.cost / queue.weight,
            default=None,
        )

    def _subtract_cost(self, queue: _CustomerQueue[T], cost: float) -> None:
        queue.cost -= cost
        self.cost -= cost
        self.length -= 1

    def _remove_idle(self) -> None:
        latest_idle_start = self._earliest_start(IDLE_REMOVAL_CREDIT_MULTIPLE)
        idle = [
            customer
            for customer, queue in self._customers.items()
            if not queue.items and queue.virtual_start <= latest_idle_start
        ]
        for customer in idle:
            del self._customers[customer]
