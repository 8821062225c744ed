"""How long to wait for a first event while another attempt could still be in time.

Load pattern: some endpoints run requests and lose their answers for a few seconds. The
usual timeout allows for engines that are busy with long prompts, and is longer than the
objective of short requests, so each lost answer would be late.
"""

from radishshift.decisions.retry_budget import HostRetryBudget

__all__ = ["EarlyRetries", "patience_s"]

# An answer that takes this multiple of the mean is more likely lost than slow.
LIKELY_LOST_RATIO = 3.0
SECOND_ATTEMPT_RATIO = 2.0  # of the mean, left for the second attempt
# Early retries per attempt. When endpoints are slow because they are full, further
# attempts would slow them down more.
EARLY_RETRY_RATIO = 0.15
WINDOW_S = 10.0
SLACK = 2.0  # early retries in a window on top of the ratio


def patience_s(mean_s: float, objective_left_s: float, usual_s: float) -> float:
    """Return how long to wait for the first event of an attempt.

    Parameters
    ----------
    mean_s : float
        Mean time to a first event, 0 if unknown.
    objective_left_s : float
        Time from the attempt's begin until its answer is late.
    usual_s : float
        Time after which an attempt is given up where nothing is gained by haste.
    """
    latest_s = objective_left_s - SECOND_ATTEMPT_RATIO * mean_s
    if not mean_s or latest_s < LIKELY_LOST_RATIO * mean_s:
        return usual_s
    return min(usual_s, latest_s)


class EarlyRetries(HostRetryBudget):
    """Bound on the attempts that one host gives up early."""

    def __init__(self) -> None:
        # Each is also a retry of the budget, which bounds what is spent at once.
        super().__init__(EARLY_RETRY_RATIO, WINDOW_S, SLACK, burst_share=1.0)
