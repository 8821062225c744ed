"""Bytes and connections that a host holds for callers, within its memory.

Load pattern: callers and endpoints that read slowly, or many callers with large bodies
at once, or callers that stop short of the end of what they send, while the platform
kills a process whose memory exceeds its limit, and with it all the requests that it
holds. Where room is needed, what has stalled gives it up, the longest stalled first; a
request for which there is still none is rejected; those that make progress go on.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

__all__ = [
    "REQUEST_BYTES",
    "HeldBytes",
    "Progress",
    "budget_bytes",
    "longest_stalled_first",
    "max_connections",
]

MEGABYTE = 1_000_000
# Kept for the process itself, which peaks at 30 MB on the days in docs/CAPACITY.md. Of
# what is left, a part is kept for events, answers, and the buffers of connections.
PROCESS_MB = 80.0
BODY_SHARE = 0.5
MIN_BUDGET_MB = 8.0  # two of the largest bodies that configurations allow
REQUEST_BYTES = 32_768  # of a request in work, besides its body
CONNECTION_BYTES = 12_288  # of a connection that nobody uses
CONNECTION_SHARE = 0.3  # of the memory that the process itself leaves
MIN_CONNECTIONS = 64
FILE_DESCRIPTORS = 200  # that the platform reserves for files
RESERVED_DESCRIPTORS = 64  # for the store, peers and readiness checks

STALL_S = 1.0
PROGRESS_BYTES = 65_536  # that must move within `STALL_S`

Holder = TypeVar("Holder")


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


def max_connections(max_fds: int, memory_mb: float) -> float:
    """Return how many connections of callers a host may hold open.

    Each may need another one, to an endpoint.

    Parameters
    ----------
    max_fds : int
        Limit of the process's descriptors, 0 if there is none.
    memory_mb : float
        Memory limit of the process in MB, 0 if there is none.
    """
    most = math.inf
    if max_fds:
        most = (max_fds - FILE_DESCRIPTORS - RESERVED_DESCRIPTORS) // 2
    if memory_mb:
        room = MEGABYTE * CONNECTION_SHARE * (memory_mb - PROCESS_MB)
        most = min(most, room // CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, most)


class HeldBytes:
    """Account of the bytes that a host holds for callers.

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
    make_room : callable
        Ends what has stalled until so many bytes are released, if possible.
    """

    def __init__(self, budget: float = math.inf) -> None:
        self._budget = budget
        self.total = 0
        self.rejected = 0
        self.make_room: Callable[[float], None] = lambda count: None

    @property
    def excess(self) -> float:
        """Return the bytes that are held beyond the budget."""
        return max(0, self.total - self._budget)

    def acquire(self, count: int) -> bool:
        """Hold some more bytes of a request, if the budget allows it."""
        if self.total + count > self._budget and count <= self._budget:
            self.make_room(self.total + count - self._budget)
        if self.total + count > self._budget:
            self.rejected += 1
            return False
        self.total += count
        return True

    def add(self, count: int) -> None:
        """Hold some more bytes that are already there."""
        self.total += count

    def release(self, count: int) -> None:
        """Hold some bytes less."""
        self.total -= count


@dataclass(slots=True)
class Progress:
    """Whether bytes move: those of a body that arrives, or of an answer that leaves.

    Attributes
    ----------
    marked_at : float
        Instant since which less than `PROGRESS_BYTES` have moved.
    count : int
        Bytes at that instant.
    moved_at : float
        Instant at which any byte was last seen to have moved.
    """

    marked_at: float
    count: int = 0
    moved_at: float = field(init=False)
    _last_count: int = field(init=False)

    def __post_init__(self) -> None:
        self.moved_at = self.marked_at
        self._last_count = self.count

    def observe(self, count: int, now: float) -> None:
        """Record how many bytes have arrived, or are still to leave, at an instant."""
        if count != self._last_count:
            self._last_count = count
            self.moved_at = now
        if abs(count - self.count) >= PROGRESS_BYTES:
            self.count = count
            self.marked_at = now

    def stalled(self, now: float) -> bool:
        """Return whether too few bytes have moved lately."""
        return now - self.marked_at >= STALL_S


def longest_stalled_first(
    progress_by_holder: Iterable[tuple[Holder, Progress]], now: float
) -> list[Holder]:
    """Return the holders that have stalled, in the order in which to end them."""
    stalled = [
        (progress.marked_at, number, holder)
        for number, (holder, progress) in enumerate(progress_by_holder)
        if progress.stalled(now)
    ]
    return [holder for _, _, holder in sorted(stalled, key=lambda item: item[:2])]
