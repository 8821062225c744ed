"""How long answers usually take, to tell what is slow.

Load pattern: endpoints or versions that turn several times slower while their
health check passes, among requests of very different sizes.
"""

from collections.abc import Hashable

__all__ = ["MovingAverages"]

SMOOTHING = 0.1
LEAST_S = 0.02  # below this a ratio says nothing
KEYS_MAX = 2000


class MovingAverages:
    """Smoothed times by kind of answer."""

    def __init__(self) -> None:
        self._usual: dict[Hashable, float] = {}

    def mean_s(self, key: Hashable) -> float:
        """Return the usual time, 0 if it is not known."""
        return self._usual.get(key, 0.0)

    def ratio(self, key: Hashable, took_s: float, learn: bool = True) -> float:
        """Return a time against the usual one, then take it in.

        Parameters
        ----------
        learn : bool
            Whether the time is one that may become usual.
        """
        mean_s = self._usual.get(key)
        if mean_s is None:
            if learn and len(self._usual) < KEYS_MAX:
                self._usual[key] = took_s
            return 1.0
        ratio = (took_s + LEAST_S) / (mean_s + LEAST_S)
        if not learn:
            return ratio
        # What is far off counts little, so that the slow don't become usual.
        self._usual[key] = mean_s + SMOOTHING * (min(took_s, 2 * mean_s) - mean_s)
        return ratio
