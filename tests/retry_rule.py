"""What the users allow of attempts beyond the first of each request."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence

__all__ = ["WINDOW_S", "allowed_repeats", "worst_window"]

WINDOW_S = 10.0
RATIO = 0.9
SLACK = 52  # repeats


def allowed_repeats(requests: Sequence[float], begins_at: float) -> float:
    """Return how many repeats may arrive in the window that begins at an instant.

    Requests count in that window, the one before it or the one half a window before
    it, whichever has most.

    Parameters
    ----------
    requests : sequence of float
        Sorted instants at which callers sent requests for the service.
    """
    counts = (
        bisect_right(requests, begins_at - shift_s + WINDOW_S)
        - bisect_left(requests, begins_at - shift_s)
        for shift_s in (0.0, WINDOW_S / 2, WINDOW_S)
    )
    return RATIO * max(counts) + SLACK


def worst_window(
    requests: Iterable[float], arrivals: Iterable[tuple[str, float]]
) -> tuple[int, float]:
    """Return the repeats in the worst window, and how many are allowed in it.

    Parameters
    ----------
    requests : iterable of float
        Instants at which callers sent requests for the service.
    arrivals : iterable of pairs
        Request and instant of each attempt that reached an endpoint of the service.
    """
    sent = sorted(requests)
    seen: set[str] = set()
    repeats = []
    for request_id, at in sorted(arrivals, key=lambda arrival: arrival[1]):
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    windows = [
        (bisect_right(repeats, at + WINDOW_S) - first, allowed_repeats(sent, at))
        for first, at in enumerate(repeats)
    ]
    return max(windows, key=lambda window: window[0] / window[1], default=(0, SLACK))
