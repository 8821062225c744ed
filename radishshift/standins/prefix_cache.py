"""A stand-in of an engine's prefix cache and of what it reports."""

from collections import OrderedDict, deque
from typing import Any

__all__ = ["StandinPrefixCache"]

EVENTS_KEPT = 256


class StandinPrefixCache:
    """Prefixes in the order of their last use, with numbered events.

    Parameters
    ----------
    bound : int
        Prefixes that fit.
    """

    def __init__(self, bound: int = 64) -> None:
        self._bound = bound
        self._held: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[int, str, int]] = deque(maxlen=EVENTS_KEPT)
        self._number = 0

    def use(self, prefix: str) -> None:
        """Note that a prompt with a prefix came."""
        if not prefix:
            return
        if prefix not in self._held:
            self._tell(prefix, 1)
        self._held[prefix] = None
        self._held.move_to_end(prefix)
        while len(self._held) > self._bound:
            dropped, _ = self._held.popitem(last=False)
            self._tell(dropped, 0)

    def report(self, running: int, since: int) -> dict[str, Any]:
        """Return the load report; older events than are kept are a gap."""
        return {
            "running": running,
            "waiting": 0,
            "age_s": 0.0,
            "cache_events": [event for event in self._events if event[0] > since],
        }

    def _tell(self, prefix: str, stored: int) -> None:
        self._number += 1
        self._events.append((self._number, prefix, stored))
