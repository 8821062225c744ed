"""Whether a failed attempt is followed by another."""

from radishshift.errors import RadishshiftError
from radishshift.verdicts import Verdict

__all__ = ["RetryBudget"]

TOKENS_AT_START = 3.0
TOKENS_MOST = 10.0


class RetryBudget:
    """Bounds retries to a share of the requests.

    Parameters
    ----------
    share : float
        Retries for each request, in the long run.
    """

    def __init__(self, share: float = 0.08) -> None:
        self._share = share
        self._tokens = TOKENS_AT_START

    def request_received(self) -> None:
        """Note a request; it adds its share to the budget."""
        self._tokens = min(TOKENS_MOST, self._tokens + self._share)

    def allows(
        self, error: RadishshiftError, idempotent: bool, deadline: float, now: float
    ) -> bool:
        """Tell whether to try again after an error, and take it from the budget."""
        if now >= deadline or error.verdict is Verdict.RAN:
            return False
        if error.verdict is Verdict.MAY_HAVE_RUN and not idempotent:
            return False
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
