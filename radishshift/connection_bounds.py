"""Bounds of what all connections of a server hold together.

Where room is needed, the connections that have stalled are ended.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

import logbook

from radishshift.caller_limits import CallerLimits
from radishshift.decisions.held_bytes import (
    HeldBytes,
    Progress,
    longest_stalled_first,
)

__all__ = ["BoundedConnection", "ConnectionBounds"]

MAX_FINISHING = 32  # connections that end after the answer to the request in work
SWEEP_INTERVAL_S = 0.25

logger = logbook.Logger("connections")


class BoundedConnection(Protocol):
    """What the bounds ask of a connection.

    Attributes
    ----------
    progress : Progress or None
        Progress of the body, head or answer that is on its way.
    """

    transport: asyncio.Transport | None
    progress: Progress | None

    def observe(self, now: float) -> None:
        """Record what has arrived, or has left, until now."""

    def overdue(self, limits: CallerLimits, now: float) -> bool:
        """Return whether the connection has stalled for longer than a caller may."""

    def evict(self) -> None:
        """End the connection, and release what it holds."""

    def close(self) -> None:
        """Close after the answer to the request in work."""


class ConnectionBounds:
    """Bounds of what all connections of a server hold together.

    Parameters
    ----------
    held : HeldBytes, optional
        Account, which other parts of the process may share.
    limits : callable, optional
        Returns the limits on callers that are in force.
    max_connections : float

    Attributes
    ----------
    head_bytes : int
        Bytes of heads that are not complete.
    evicted : int
        Connections that were ended to make room.
    refused : int
        Connections that were closed at once, as there were too many.
    """

    def __init__(
        self,
        held: HeldBytes | None = None,
        limits: Callable[[], CallerLimits] = CallerLimits,
        max_connections: float = math.inf,
    ) -> None:
        self.held = held or HeldBytes()
        self.held.make_room = self.make_room
        self.limits = limits
        self.head_bytes = 0
        self.evicted = 0
        self.refused = 0
        self._max_connections = max_connections
        self._open: set[BoundedConnection] = set()
        # In the order in which they fell silent.
        self._silent: dict[BoundedConnection, None] = {}  # since they were opened
        self._idle: dict[BoundedConnection, None] = {}
        self._with_requests_ahead: dict[BoundedConnection, None] = {}
        self._watched: dict[BoundedConnection, None] = {}
        self._finishing: set[BoundedConnection] = set()
        self._sweep: asyncio.TimerHandle | None = None

    def opened(self, conn: BoundedConnection) -> None:
        """Record a new connection, and end another one if there are too many."""
        if len(self._open) >= self._max_connections and not self._end_one():
            self.refused += 1
            conn.transport.abort()
            return
        self._open.add(conn)
        self._silent[conn] = None

    def closed(self, conn: BoundedConnection) -> None:
        """Forget a connection."""
        self._finishing.discard(conn)
        self._forget(conn)

    def _forget(self, conn: BoundedConnection) -> None:
        self._open.discard(conn)
        self.busy(conn)
        self.set_ahead(conn, 0)
        self._watched.pop(conn, None)

    def set_ahead(self, conn: BoundedConnection, count: int) -> None:
        """Record how many bytes of requests wait behind the one in work."""
        if count and conn in self._open:
            self._with_requests_ahead[conn] = None
        else:
            self._with_requests_ahead.pop(conn, None)

    def busy(self, conn: BoundedConnection) -> None:
        """Record that a connection receives a request."""
        self._silent.pop(conn, None)
        self._idle.pop(conn, None)

    def idle(self, conn: BoundedConnection) -> None:
        """Record that all requests of a connection have been answered."""
        if conn in self._open:
            self._idle[conn] = None

    def watch(self, conn: BoundedConnection) -> None:
        """Look at a connection regularly, as it may stall."""
        self._watched[conn] = None
        if self._sweep is None:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._look)

    def make_room(self, count: float) -> None:
        """End stalled connections until so many bytes are released, if possible."""
        before = self.held.total
        evicted = self.evicted
        for conn in self._stalled():
            if before - self.held.total >= count:
                break
            self._evict(conn)
        if before - self.held.total < count:
            self._finish_one()
        if self.evicted > evicted:
            logger.warning(
                "stalled connections ended for lack of memory",
                extra={
                    "connections": self.evicted - evicted,
                    "held_bytes": self.held.total,
                },
            )

    def _end_one(self) -> bool:
        """End the connection that is missed least; return whether there is one."""
        conn = next(iter(self._silent), None)
        if conn is None:
            conn = next(iter(self._stalled()), None)
        if conn is None:
            conn = next(iter(self._idle), None)
        if conn is not None:
            self._evict(conn)
            return True
        return self._finish_one()

    def _finish_one(self) -> bool:
        """Let a connection with requests ahead end after the one in work."""
        conn = next(iter(self._with_requests_ahead), None)
        if conn is None or len(self._finishing) >= MAX_FINISHING:
            return False
        self._forget(conn)
        self._finishing.add(conn)
        conn.close()
        return True

    def _stalled(self) -> list[BoundedConnection]:
        now = asyncio.get_running_loop().time()
        for conn in list(self._watched):
            conn.observe(now)
        pending = [
            (conn, conn.progress) for conn in self._watched if conn.progress is not None
        ]
        return longest_stalled_first(pending, now)

    def _evict(self, conn: BoundedConnection) -> None:
        self.evicted += 1
        self._forget(conn)
        conn.evict()

    def _look(self) -> None:
        self._sweep = None
        now = asyncio.get_running_loop().time()
        limits = self.limits()
        for conn in list(self._watched):
            conn.observe(now)
            if conn.progress is None:
                self._watched.pop(conn, None)
            elif conn.overdue(limits, now):
                self._evict(conn)
        if self.held.excess:
            self.make_room(self.held.excess)
        if self._watched:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._look)
