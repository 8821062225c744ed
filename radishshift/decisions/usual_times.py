"""How long answers usually take, to tell what is slow.

Load pattern: endpoints or versions that turn several times slower while their
health check passes, among requests of very different sizes.
"""

from collections.abc import Hashable

__all__ = ["UsualTimes"]

SMOOTHING = 0.1
LEAST_S = 0.02  # below this a ratio says nothing
KEYS_MAX = 2000


class UsualTimes:
    """Smoothed times by kind of answer."""

    SLOW = 3.5  # times the usual; bad versions are several times slower

    def __init__(self) -> None:
        self._usual: dict[Hashable, float] = {}

    def usual(self, key: Hashable) -> float:
        """Return the usual time, 0 if it is not known."""
        return self._usual.get(key, 0.0)

    def ratio(self, key: Hashable, took_s: float) -> float:
        """Return a time against the usual one, then take it in."""
        usual = self._usual.get(key)
        if usual is None:
            if len(self._usual) < KEYS_MAX:
                self._usual[key] = took_s
            return 1.0
        ratio = (took_s + LEAST_S) / (usual + LEAST_S)
        # What is far off counts little, so that the slow don't become usual.
        self._usual[key] = usual + SMOOTHING * (min(took_s, 2 * usual) - usual)
        return ratio
