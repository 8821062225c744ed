"""Leaving out an endpoint that fails again and again, and trying it anew."""

from dataclasses import dataclass

__all__ = ["Ejection"]

FAILURES = 3
FAILING_SHARE = 0.25
SMOOTHING = 0.1
PAUSE_S = 1.0
PAUSE_MAX_S = 30.0


@dataclass(slots=True)
class Ejection:
    """Circuit breaker of one endpoint, as one host sees it.

    After some failures in a row, or when a good part of its attempts fail, the
    endpoint is left out for a pause, then one attempt is let through; each failure
    of such a probe doubles the pause.

    Attributes
    ----------
    failures : int
        Failures in a row.
    failures_most : int
        Failures in a row after which the endpoint is left out.
    pause_most_s : float
        Longest pause, in seconds.
    failing : float
        Smoothed share of attempts that fail.
    """

    failures: int = 0
    failures_most: int = FAILURES
    pause_most_s: float = PAUSE_MAX_S
    failing: float = 0.0
    pause_s: float = 0.0
    until: float = 0.0
    probing_until: float = 0.0

    @property
    def open(self) -> bool:
        """Tell whether the endpoint is left out."""
        return self.pause_s > 0

    def note(self, ok: bool, now: float) -> None:
        """Take in how an attempt went."""
        self.failing += SMOOTHING * ((not ok) - self.failing)
        if ok:
            self.failures = 0
            self.pause_s = 0.0
            self.probing_until = 0.0
            return
        self.failures += 1
        if self.open and now < self.until:
            return
        too_often = self.failing > FAILING_SHARE
        if self.failures >= self.failures_most or too_often or self.open:
            self.pause_s = min(max(PAUSE_S, 2 * self.pause_s), self.pause_most_s)
            self.until = now + self.pause_s
            self.probing_until = 0.0

    def admits(self, now: float) -> bool:
        """Tell whether an attempt may be sent now."""
        return not self.open or (now >= self.until and now >= self.probing_until)

    def probe(self, now: float) -> None:
        """Note that an attempt is sent; while left out, no other follows soon."""
        if self.open:
            self.probing_until = now + self.pause_s
