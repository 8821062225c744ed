"""One host's part of a retry budget that applies to all hosts together.

Load pattern: endpoints fail or refuse requests while callers retry too, so that each
retry adds to the load that made the first attempt fail. The bound holds for the sum
over all hosts in any window, also if processes are killed, start again and are cut from
each other meanwhile. Each process applies the ratio to the requests that it received
itself, which needs no agreement; the first one may be repeated once. It applies the
ratio to a short span as well, as its successor would not know of what it had saved up
and spent at once just before its end. The slack belongs to machines rather than
requests: a process uses a share of it only once what its predecessor spent is out of
the window, and the share is that of the largest fleet known of late.
"""

import math
from collections import deque

from radishshift.decisions.fleet_size import FleetSize

__all__ = ["HostRetryBudget", "SlackShare"]

# Share of the slack that is divided; the rest covers first requests that are repeated.
SLACK_MARGIN = 0.9
RATIO_MARGIN = 0.85  # share of the ratio in use, as callers' requests are counted late
# Divides the slack at least, as parts of a small fleet may know of each other alone.
MIN_HOSTS = 12
# Share of the window in which retries may not exceed the ratio either. What is saved up
# for so long before a window may be spent in it; `RATIO_MARGIN` leaves room for that.
BURST_SHARE = 1 / RATIO_MARGIN - 1


class SlackShare:
    """The share of the fleet's slack that this process may use.

    Parameters
    ----------
    fleet_size : FleetSize
    usable_from : float
        Instant at which whatever the host's last process spent is out of the window.
    """

    def __init__(self, fleet_size: FleetSize, usable_from: float) -> None:
        self._fleet_size = fleet_size
        self.usable_from = usable_from

    def at(self, now: float) -> float:
        """Return the share, 0 while the process or its knowledge is too young."""
        hosts = self._fleet_size.largest(now)
        if now < self.usable_from or not hosts:
            return 0.0
        return SLACK_MARGIN / max(hosts, MIN_HOSTS)


class _Span:
    """Requests and retries of the last seconds.

    Parameters
    ----------
    length_s : float
    """

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def forget_old(self, now: float) -> None:
        """Drop what is older than the span."""
        for timestamps in (self.requests, self.retries):
            while timestamps and timestamps[0] <= now - self._length_s:
                timestamps.popleft()


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
    share : SlackShare, optional
        Without it, the whole slack is this host's.
    burst_share : float, optional
        Share of the window in which the ratio applies as well.
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        share: SlackShare | None = None,
        burst_share: float = BURST_SHARE,
    ) -> None:
        self._ratio = ratio * RATIO_MARGIN
        self._first = min(1.0, round(ratio))  # retries of the first request
        self._slack = slack
        self._share = share
        self._window = _Span(window_s)
        self._burst = _Span(burst_share * window_s)
        self._burst_share = burst_share

    def request_received(self, now: float) -> None:
        """Record a caller's request for the service."""
        for span in (self._window, self._burst):
            span.requests.append(now)
            span.forget_old(now)

    def available(self, now: float) -> float:
        """Return how many retries may be sent now."""
        share = 1.0 if self._share is None else self._share.at(now)
        return self._slack * share + min(
            self._left(self._window, now), self._left(self._burst, now)
        )

    def _left(self, span: _Span, now: float) -> float:
        """Return the retries that the ratio leaves in a span."""
        span.forget_old(now)
        by_ratio = self._ratio * len(span.requests)
        if span is self._burst:
            # What fails now may have come before the span, and hosts with few requests
            # would lose much to rounding in each.
            mean = self._burst_share * len(self._window.requests)
            by_ratio = math.ceil(self._ratio * max(len(span.requests), mean))
        if self._window.requests:
            by_ratio = max(by_ratio, self._first)
        return by_ratio - len(span.retries)

    def state(self, now: float) -> dict[str, float]:
        """Return what the budget is made of, for logs."""
        return {
            "retries_left": round(self.available(now), 2),
            "retries": len(self._window.retries),
            "requests": len(self._window.requests),
        }

    def try_acquire(self, now: float) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        if self.available(now) < 1:
            return False
        for span in (self._window, self._burst):
            span.retries.append(now)
        return True

    def give_back(self, acquired_at: float) -> None:
        """Take a retry back that was acquired at an instant and has not been sent."""
        for span in (self._window, self._burst):
            if acquired_at in span.retries:
                span.retries.remove(acquired_at)
