"""Leaving out an endpoint that fails again and again, and trying it anew."""

from dataclasses import dataclass

__all__ = ["CircuitBreaker"]

FAILURES = 3
FAILING_SHARE = 0.25
SMOOTHING = 0.1
PAUSE_S = 1.0
PAUSE_MAX_S = 30.0


@dataclass(slots=True)
class CircuitBreaker:
    """Circuit breaker of one endpoint, as one host sees it.

    After some failures in a row, or when a good part of its attempts fail, the
    endpoint is left out for a pause, then one attempt is let through; each failure
    of such a probe doubles the pause.

    Attributes
    ----------
    failures : int
        Failures in a row.
    max_failures : int
        Failures in a row after which the endpoint is left out.
    max_pause_s : float
        Longest pause, in seconds.
    failure_rate : float
        Smoothed share of attempts that fail.
    """

    failures: int = 0
    max_failures: int = FAILURES
    max_pause_s: float = PAUSE_MAX_S
    failure_rate: float = 0.0
    pause_s: float = 0.0
    open_until: float = 0.0
    probing_until: float = 0.0

    @property
    def open(self) -> bool:
        """Tell whether the endpoint is left out."""
        return self.pause_s > 0

    def record_outcome(self, ok: bool, now: float) -> None:
        """Take in how an attempt went."""
        self.failure_rate += SMOOTHING * ((not ok) - self.failure_rate)
        if ok:
            self.failures = 0
            self.pause_s = 0.0
            self.probing_until = 0.0
            return
        self.failures += 1
        if self.open and now < self.open_until:
            return
        too_often = self.failure_rate > FAILING_SHARE
        if self.failures >= self.max_failures or too_often or self.open:
            self.pause_s = min(max(PAUSE_S, 2 * self.pause_s), self.max_pause_s)
            self.open_until = now + self.pause_s
            self.probing_until = 0.0

    def allows_attempt(self, now: float) -> bool:
        """Tell whether an attempt may be sent now."""
        return not self.open or (now >= self.open_until and now >= self.probing_until)

    def record_attempt(self, now: float) -> None:
        """Note that an attempt is sent; while left out, no other follows soon."""
        if self.open:
            self.probing_until = now + self.pause_s
