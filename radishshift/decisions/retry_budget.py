"""One host's share of a retry budget that applies to all hosts together.

Load pattern: endpoints fail or refuse requests while callers retry too, so that each
retry adds to the load that made the first attempt fail. The bound holds for the sum
over all hosts: each applies the ratio to its own requests and gets a fixed share of
the slack, so the hosts need not coordinate.
"""

from collections import deque

__all__ = ["HostRetryBudget"]

RATIO_MARGIN = 0.85  # share of the ratio in use, as callers' requests are counted late
INITIAL_HOST_COUNT = 12  # divides the slack until the real number is known


class HostRetryBudget:
    """Sliding-window limit on the retries that one host sends to one service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length of the window over which retries and requests are compared.
    slack : float
        Retries per window, over all hosts, that are allowed on top of the ratio.
    """

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio * RATIO_MARGIN
        self._window_s = window_s
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self.host_count = INITIAL_HOST_COUNT

    def request_received(self, now: float) -> None:
        """Record a caller's request for the service."""
        self._requests.append(now)
        self._forget_old(now)

    def available(self, now: float) -> float:
        """Return how many retries may be sent now."""
        self._forget_old(now)
        slack_share = self._slack / max(1, self.host_count)
        return self._ratio * len(self._requests) + slack_share - len(self._retries)

    def _forget_old(self, now: float) -> None:
        for timestamps in (self._requests, self._retries):
            while timestamps and timestamps[0] <= now - self._window_s:
                timestamps.popleft()

    def try_acquire(self, now: float) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        if self.available(now) < 1:
            return False
        self._retries.append(now)
        return True
