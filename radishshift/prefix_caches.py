"""Where the prefixes of prompts are thought to be cached.

Engines tell of their caches late and with gaps. What a host sent where is known to
it at once, and taken as cached until an event says otherwise.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["PrefixCaches"]


@dataclass(slots=True)
class _Cache:
    last_event: int = 0
    prefixes: set[int] = field(default_factory=set)


class PrefixCaches:
    """Guess of the prefixes that each endpoint holds.

    Parameters
    ----------
    bound : int
        Prefixes remembered; the longest unused go first.
    """

    def __init__(self, bound: int = 20_000) -> None:
        self._bound = bound
        self._used: OrderedDict[int, int] = OrderedDict()
        self._caches: dict[str, _Cache] = {}

    def record_sent(self, prefix: int, endpoint: str) -> None:
        """Note that a prompt was sent; its prefix is then cached there."""
        self._used[prefix] = self._used.get(prefix, 0) + 1
        self._used.move_to_end(prefix)
        self._caches.setdefault(endpoint, _Cache()).prefixes.add(prefix)
        while len(self._used) > self._bound:
            old, _ = self._used.popitem(last=False)
            for cache in self._caches.values():
                cache.prefixes.discard(old)

    def apply_event(
        self, endpoint: str, number: int, prefix: int, stored: bool
    ) -> None:
        """Take one event of an endpoint's cache.

        Numbers run on without gaps at the engine. After a gap all that was known of
        the endpoint is in doubt and forgotten.
        """
        cache = self._caches.setdefault(endpoint, _Cache())
        if number <= cache.last_event:
            return
        if cache.last_event and number > cache.last_event + 1:
            cache.prefixes.clear()
        cache.last_event = number
        if not stored:
            cache.prefixes.discard(prefix)
        elif prefix in self._used:
            cache.prefixes.add(prefix)

    def reset(self, endpoint: str) -> None:
        """Forget all of an endpoint whose events have begun anew."""
        self._caches.pop(endpoint, None)

    def seen(self, prefix: int) -> bool:
        """Tell whether a prefix has come before."""
        return prefix in self._used

    def holders(self, prefix: int) -> frozenset[str]:
        """Return the endpoints that are thought to hold a prefix."""
        return frozenset(
            name for name, cache in self._caches.items() if prefix in cache.prefixes
        )
