"""Moving averages of answer times, the baseline for detecting slow answers.

Load pattern: endpoints or versions become several times slower while their health
check still passes, among requests of very different sizes.
"""

from collections.abc import Hashable

__all__ = ["MovingAverages"]

SMOOTHING = 0.1
RATIO_OFFSET_S = 0.02  # keeps ratios of very short times near 1
MAX_KEYS = 2000


class MovingAverages:
    """Exponential moving averages of times by kind of answer."""

    def __init__(self) -> None:
        self._means_s: dict[Hashable, float] = {}

    def mean_s(self, key: Hashable) -> float:
        """Return the mean time, 0 if it is not known."""
        return self._means_s.get(key, 0.0)

    def observe(self, key: Hashable, took_s: float, learn: bool = True) -> float:
        """Return the ratio of a time to the mean, and update the mean.

        The ratio is 1 if the mean is not known yet.

        Parameters
        ----------
        learn : bool
            Whether the time updates the mean.
        """
        mean_s = self._means_s.get(key)
        if mean_s is None:
            if learn and len(self._means_s) < MAX_KEYS:
                self._means_s[key] = took_s
            return 1.0
        ratio = (took_s + RATIO_OFFSET_S) / (mean_s + RATIO_OFFSET_S)
        if not learn:
            return ratio
        # Outliers are capped so that slow answers don't soon raise the baseline.
        self._means_s[key] = mean_s + SMOOTHING * (min(took_s, 2 * mean_s) - mean_s)
        return ratio
