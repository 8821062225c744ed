"""A host's estimate of which endpoints have which prompt prefixes cached.

Engines report cache events late and with gaps. A host knows at once which prompts it
sent where, and assumes that their prefixes are cached there until an event says
otherwise.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["PrefixCaches"]


@dataclass(slots=True)
class _Cache:
    last_event: int = 0
    prefixes: set[int] = field(default_factory=set)


class PrefixCaches:
    """Estimate of the prefixes that each endpoint has cached.

    Parameters
    ----------
    bound : int
        Maximum number of prefixes; the least recently used are dropped first.
    """

    def __init__(self, bound: int = 20_000) -> None:
        self._bound = bound
        self._use_counts: OrderedDict[int, int] = OrderedDict()
        self._caches: dict[str, _Cache] = {}

    def record_sent(self, prefix: int, endpoint: str) -> None:
        """Record that a prompt was sent; its prefix is assumed to be cached there."""
        self._use_counts[prefix] = self._use_counts.get(prefix, 0) + 1
        self._use_counts.move_to_end(prefix)
        self._caches.setdefault(endpoint, _Cache()).prefixes.add(prefix)
        while len(self._use_counts) > self._bound:
            evicted, _ = self._use_counts.popitem(last=False)
            for cache in self._caches.values():
                cache.prefixes.discard(evicted)

    def apply_event(
        self, endpoint: str, number: int, prefix: int, stored: bool
    ) -> None:
        """Apply one cache event of an endpoint; duplicates are ignored.

        An engine numbers its events consecutively. After a gap the state of its cache
        is unknown, so all prefixes recorded for it are dropped.
        """
        cache = self._caches.setdefault(endpoint, _Cache())
        if number <= cache.last_event:
            return
        if cache.last_event and number > cache.last_event + 1:
            cache.prefixes.clear()
        cache.last_event = number
        if not stored:
            cache.prefixes.discard(prefix)
        elif prefix in self._use_counts:
            cache.prefixes.add(prefix)

    def reset(self, endpoint: str) -> None:
        """Drop the state of an endpoint that restarted its event numbering."""
        self._caches.pop(endpoint, None)

    def seen(self, prefix: int) -> bool:
        """Return whether a prompt with this prefix was sent before."""
        return prefix in self._use_counts

    def holders(self, prefix: int) -> frozenset[str]:
        """Return the endpoints that are believed to have a prefix cached."""
        return frozenset(
            name for name, cache in self._caches.items() if prefix in cache.prefixes
        )
