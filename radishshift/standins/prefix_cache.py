"""A stand-in for an engine's prefix cache and its load report."""

from collections import OrderedDict, deque
from typing import Any

__all__ = ["StandinPrefixCache"]

MAX_EVENTS = 256


class StandinPrefixCache:
    """An LRU cache of prefix digests, with a log of numbered events.

    Parameters
    ----------
    capacity : int
        Largest number of cached prefixes.
    """

    def __init__(self, capacity: int = 64) -> None:
        self._capacity = capacity
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[int, str, int]] = deque(maxlen=MAX_EVENTS)
        self._last_event_number = 0

    def use(self, prefix: str) -> None:
        """Record a prompt with a prefix."""
        if not prefix:
            return
        if prefix not in self._prefixes:
            self._record_event(prefix, 1)
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > self._capacity:
            evicted, _ = self._prefixes.popitem(last=False)
            self._record_event(evicted, 0)

    def report(self, running: int, since: int) -> dict[str, Any]:
        """Return the load report with the cache events after number `since`.

        Only the last `MAX_EVENTS` are kept: a client that polls too rarely sees a gap
        in their numbers.
        """
        return {
            "running": running,
            "waiting": 0,
            "age_s": 0.0,
            "cache_events": [event for event in self._events if event[0] > since],
        }

    def _record_event(self, prefix: str, stored: int) -> None:
        self._last_event_number += 1
        self._events.append((self._last_event_number, prefix, stored))
