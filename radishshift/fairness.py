"""Fair queueing of work between customers, by weight and by cost in tokens."""

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

T = TypeVar("T")
WEIGHT_MIN = 1e-9
FORGET_CREDITS = 4.0


@dataclass(slots=True)
class _Line(Generic[T]):
    """Items of one customer, and the virtual time at which its next one starts."""

    weight: float
    start: float
    items: deque[tuple[float, T]]
    cost: float = 0.0


class FairQueue(Generic[T]):
    """Start-time fair queue: customers that wait are served by their weights.

    A customer's place moves on only by what was taken out for it, so an item that
    gives up costs it nothing. One that had nothing waiting for a while keeps a
    bounded credit: without it, a customer whose few requests come one at a time
    would lose its share to one that always has some waiting.

    Parameters
    ----------
    credit_items : int
        Bound on the credit, in items of the largest cost.
    """

    def __init__(self, credit_items: int = 20) -> None:
        self._credit_items = credit_items
        self._largest = 0.0
        self._lines: dict[str, _Line[T]] = {}
        self._virtual = 0.0
        self.cost = 0.0
        self.length = 0

    def push(self, customer: str, weight: float, cost: float, item: T) -> None:
        """Add an item behind the customer's others."""
        self._largest = max(self._largest, cost)
        line = self._lines.get(customer)
        if line is None:
            line = _Line(weight, self._virtual, deque())
            self._lines[customer] = line
        line.weight = max(weight, WEIGHT_MIN)
        if not line.items:
            line.start = max(line.start, self._oldest_start())
        line.items.append((cost, item))
        line.cost += cost
        self.cost += cost
        self.length += 1

    def head(self) -> tuple[float, T] | None:
        """Return the cost and the item that is next, or None."""
        line = self._next_line()
        return None if line is None else line.items[0]

    def pop(self) -> T:
        """Take out the item that is next."""
        line = self._next_line()
        if line is None:
            raise IndexError("the queue is empty")
        cost, item = line.items.popleft()
        self._drop(line, cost)
        self._virtual = max(self._virtual, line.start)
        line.start += cost / line.weight
        self._forget()
        return item

    def remove(self, customer: str, item: T) -> bool:
        """Take out an item that gave up; tell whether it was there."""
        line = self._lines.get(customer)
        if line is None:
            return False
        for entry in line.items:
            if entry[1] is item:
                line.items.remove(entry)
                self._drop(line, entry[0])
                return True
        return False

    def charge(self, customer: str, cost: float) -> None:
        """Correct a customer's place for what its work really cost."""
        line = self._lines.get(customer)
        if line is not None:
            line.start += cost / line.weight

    def has_above_mean_service(self, customer: str) -> bool:
        """Tell whether a customer has had more than the others' mean."""
        mean = sum(line.start for line in self._lines.values()) / len(self._lines)
        return self._lines[customer].start > mean

    def tail(self) -> tuple[float, T] | None:
        """Return the cost and the item that is served last, or None."""
        line = self._last_line()
        return None if line is None else line.items[-1]

    def drop_tail(self) -> T:
        """Take out the item that would be served last."""
        line = self._last_line()
        if line is None:
            raise IndexError("the queue is empty")
        cost, item = line.items.pop()
        self._drop(line, cost)
        return item

    def items(self) -> list[T]:
        """Return everything that waits."""
        return [item for line in self._lines.values() for _, item in line.items]

    def _oldest_start(self, credits: float = 1.0) -> float:
        weight = sum(line.weight for line in self._lines.values()) / len(self._lines)
        return self._virtual - credits * self._credit_items * self._largest / weight

    def _next_line(self) -> _Line[T] | None:
        waiting = (line for line in self._lines.values() if line.items)
        return min(waiting, key=lambda line: line.start, default=None)

    def _last_line(self) -> _Line[T] | None:
        waiting = (line for line in self._lines.values() if line.items)
        return max(
            waiting, key=lambda line: line.start + line.cost / line.weight, default=None
        )

    def _drop(self, line: _Line[T], cost: float) -> None:
        line.cost -= cost
        self.cost -= cost
        self.length -= 1

    def _forget(self) -> None:
        long_idle = self._oldest_start(FORGET_CREDITS)
        idle = [
            customer
            for customer, line in self._lines.items()
            if not line.items and line.start <= long_idle
        ]
        for customer in idle:
            del self._lines[customer]
