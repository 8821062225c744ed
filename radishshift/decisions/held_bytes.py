"""Bytes that a host holds for callers, within its memory.

Load pattern: callers and endpoints that read slowly, or many callers with large bodies
at once, while the platform kills a process whose memory exceeds its limit, and with it
all the requests that it holds. A request that would exceed the budget is rejected;
those that were accepted go on.
"""

import math

__all__ = ["HeldBytes", "budget_bytes"]

MEGABYTE = 1_000_000
# Kept for the process itself, which peaks at 30 MB on the days in docs/CAPACITY.md. Of
# what is left, a part is kept for events, answers, and the buffers of connections.
PROCESS_MB = 80.0
BODY_SHARE = 0.5
MIN_BUDGET_MB = 8.0  # two of the largest bodies that configurations allow


def budget_bytes(memory_mb: float) -> float:
    """Return how many bytes of bodies a host may hold.

    Parameters
    ----------
    memory_mb : float
        Memory limit of the process in MB, 0 if there is none.
    """
    if not memory_mb:
        return math.inf
    return MEGABYTE * max(MIN_BUDGET_MB, BODY_SHARE * (memory_mb - PROCESS_MB))


class HeldBytes:
    """Account of the bodies that a host holds.

    Parameters
    ----------
    budget : float
        Bytes that may be held.

    Attributes
    ----------
    total : int
        Bytes that are held.
    rejected : int
        Requests that were rejected for lack of memory.
    """

    def __init__(self, budget: float = math.inf) -> None:
        self._budget = budget
        self.total = 0
        self.rejected = 0

    def acquire(self, count: int) -> bool:
        """Hold some more bytes of a request, if the budget allows it."""
        if self.total + count > self._budget:
            self.rejected += 1
            return False
        self.total += count
        return True

    def release(self, count: int) -> None:
        """Hold some bytes less."""
        self.total -= count
