"""The part that one host holds of a budget of repeats which all hosts share.

Load pattern: endpoints that fail or refuse while callers come back, when each repeat
adds to the load that made the first try fail. The bound holds for the sum over all
hosts: each keeps the ratio on its own requests, and a fixed part of what comes on
top of it, so nothing has to be exchanged.
"""

from collections import deque

__all__ = ["HostRetryBudget"]

RATIO_KEPT = 0.85  # of the ratio allowed; callers' requests are counted late
HOSTS_AT_START = 12  # hosts among which the slack is divided until they are known


class HostRetryBudget:
    """Repeats that one host may send to one service.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    window_s : float
        Span, in seconds, over which they are compared.
    slack : float
        Repeats of all hosts in a window that come on top.
    """

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio * RATIO_KEPT
        self._window_s = window_s
        self._slack = slack
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.hosts = HOSTS_AT_START

    def request_received(self, now: float) -> None:
        """Note a caller's request for the service."""
        self._requests.append(now)

    def available(self, now: float) -> float:
        """Return how many repeats may be sent now."""
        for held in (self._requests, self._repeats):
            while held and held[0] <= now - self._window_s:
                held.popleft()
        part = self._slack / max(1, self.hosts)
        return self._ratio * len(self._requests) + part - len(self._repeats)

    def try_acquire(self, now: float) -> bool:
        """Take one repeat if there is room for it."""
        if self.available(now) < 1:
            return False
        self._repeats.append(now)
        return True
