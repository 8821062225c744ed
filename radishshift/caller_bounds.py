"""Bounds of what callers make an entry host hold."""

import asyncio

from radishshift.caller_limits import CallerLimits
from radishshift.connection_bounds import ConnectionBounds
from radishshift.decisions.held_bytes import REQUEST_BYTES, HeldBytes
from radishshift.decisions.request_budget import request_budget_bytes
from radishshift.machine_memory import machine_memory_mb
from radishshift.settings import BoundSettings, TimeSettings

__all__ = ["CallerBounds"]

# A caller that has just connected is about to send its request.
SILENT_S = 2.0


class CallerBounds(ConnectionBounds):
    """Bounds of the connections of callers.

    Parameters
    ----------
    bounds : BoundSettings
    times : TimeSettings
    """

    def __init__(self, bounds: BoundSettings, times: TimeSettings) -> None:
        budget = request_budget_bytes(
            bounds.memory_mb or machine_memory_mb(),
            bounds.requests,
            bounds.body_bytes + REQUEST_BYTES,
            bounds.answers_bytes,
            bounds.connections,
            bounds.header_bytes,
        )
        limits = CallerLimits(
            head_bytes=bounds.header_bytes,
            body_bytes=bounds.body_bytes,
            head_timeout_s=times.receive_s,
            idle_timeout_s=times.caller_stall_s,
        )
        super().__init__(HeldBytes(budget), lambda: limits)
        self._connections = bounds.connections
        self.receive_s = times.receive_s

    def has_room(self) -> bool:
        """Return whether one more connection may be opened; end another if needed.

        One without any request goes first, then one that has stalled, then one that has
        been idle longest.
        """
        if len(self._open) < self._connections:
            return True
        now = asyncio.get_running_loop().time()
        silent = [conn for conn in self._silent if now - conn.opened_at >= SILENT_S]
        for conn in (*silent[:1], *self._stalled()[:1], *list(self._idle)[:1]):
            self._evict(conn)
            return True
        return False
