"""When a request that lost endpoints to crashes is sent to another.

Load pattern: a request that crashes each endpoint it reaches, and sound requests that
waited at endpoints which it crashed, or whose answers live endpoints reset. Retries
follow each other within milliseconds; reports that tell these requests apart take
longer.
"""

from collections.abc import Sequence

__all__ = ["retry_at"]

# Endpoints that one request loses before its retries wait for reports of others.
LOSSES_AT_ONCE = 2
# By then peers have reported what else the endpoints were running, and endpoints that
# live have been told from crashed ones.
REPORTS_WITHIN_S = 0.5
# Of the time left; a request that would wait for longer is not retried any later.
MAX_WAIT_SHARE = 0.2


def retry_at(lost_at: Sequence[float], deadline: float, now: float) -> float:
    """Return the instant from which a request may be judged and sent again.

    Parameters
    ----------
    lost_at : sequence of float
        Instants at which its attempts lost their endpoints, in order.
    deadline : float
        Instant by which the request is to be answered.
    now : float
    """
    if len(lost_at) < LOSSES_AT_ONCE:
        return now
    settled_at = lost_at[-1] + REPORTS_WITHIN_S
    if settled_at - now > MAX_WAIT_SHARE * (deadline - now):
        return now
    return max(now, settled_at)
