"""Circuit breaker that excludes a failing endpoint and probes it for recovery."""

from dataclasses import dataclass

__all__ = ["CircuitBreaker"]

MAX_CONSECUTIVE_FAILURES = 3
MAX_FAILURE_RATE = 0.25
FAILURE_RATE_WEIGHT = 0.1
INITIAL_PAUSE_S = 1.0
MAX_PAUSE_S = 30.0


@dataclass(slots=True)
class CircuitBreaker:
    """One host's circuit breaker of one endpoint.

    It opens after several consecutive failures, or when the failure rate is too high.
    The endpoint then gets no attempts for a pause, after which one attempt is let
    through as a probe; each failed probe doubles the pause.

    Attributes
    ----------
    failures : int
        Consecutive failures.
    max_failures : int
        Consecutive failures that open the breaker.
    max_pause_s : float
        Longest pause, in seconds.
    failure_rate : float
        Moving average of the share of attempts that fail.
    """

    failures: int = 0
    max_failures: int = MAX_CONSECUTIVE_FAILURES
    max_pause_s: float = MAX_PAUSE_S
    failure_rate: float = 0.0
    pause_s: float = 0.0
    open_until: float = 0.0
    probing_until: float = 0.0

    @property
    def open(self) -> bool:
        """Tell whether the breaker is open, and the endpoint excluded."""
        return self.pause_s > 0

    def record_outcome(self, ok: bool, now: float) -> None:
        """Record whether an attempt succeeded."""
        self.failure_rate += FAILURE_RATE_WEIGHT * ((not ok) - self.failure_rate)
        if ok:
            self.failures = 0
            self.pause_s = 0.0
            self.probing_until = 0.0
            return
        self.failures += 1
        if self.open and now < self.open_until:
            return
        fails_too_often = self.failure_rate > MAX_FAILURE_RATE
        if self.failures >= self.max_failures or fails_too_often or self.open:
            self.pause_s = min(max(INITIAL_PAUSE_S, 2 * self.pause_s), self.max_pause_s)
            self.open_until = now + self.pause_s
            self.probing_until = 0.0

    def allows_attempt(self, now: float) -> bool:
        """Tell whether an attempt may be sent now."""
        return not self.open or (now >= self.open_until and now >= self.probing_until)

    def record_attempt(self, now: float) -> None:
        """Record that an attempt is sent; it is the only probe of an open breaker."""
        if self.open:
            self.probing_until = now + self.pause_s
