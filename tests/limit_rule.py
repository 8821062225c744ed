"""What the users allow at an endpoint that states a limit of requests per second."""

from bisect import bisect_left
from collections.abc import Sequence

__all__ = ["MAX_LEARNING_S", "most_allowed", "most_in_window"]

MAX_LEARNING_S = 3.0  # from the first answer with the limit
WINDOW_S = 4.0
RATIO = 1.5
SLACK = 5  # requests


def most_allowed(limit_per_s: float) -> float:
    """Return how many requests may arrive within `WINDOW_S`."""
    return RATIO * WINDOW_S * limit_per_s + SLACK


def most_in_window(instants: Sequence[float]) -> int:
    """Return the largest number of sorted instants within `WINDOW_S`."""
    return max(
        (
            last - bisect_left(instants, at - WINDOW_S) + 1
            for last, at in enumerate(instants)
        ),
        default=0,
    )
