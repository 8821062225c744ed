"""Budget for retries of failed attempts."""

from radishshift.errors import RadishshiftError
from radishshift.verdicts import Verdict

__all__ = ["RetryBudget"]

INITIAL_TOKENS = 3.0
MAX_TOKENS = 10.0


class RetryBudget:
    """Limits retries to a share of the requests, as a token bucket.

    Parameters
    ----------
    share : float
        Tokens that each request adds; each retry takes one.
    """

    def __init__(self, share: float = 0.08) -> None:
        self._share = share
        self._tokens = INITIAL_TOKENS

    def request_received(self) -> None:
        """Add the share of one request to the budget."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._share)

    def allows(
        self,
        error: RadishshiftError,
        idempotent: bool,
        deadline: float,
        now: float,
        endpoint_left: bool = True,
    ) -> bool:
        """Tell whether to retry after an error; if so, take a token.

        Parameters
        ----------
        error : RadishshiftError
        idempotent : bool
        deadline, now : float
        endpoint_left : bool
            Whether an endpoint is left for the retry. Without one the retry takes no
            token: it fails as it chooses its endpoint.
        """
        if now >= deadline or error.verdict is Verdict.RAN:
            return False
        if error.verdict is Verdict.MAY_HAVE_RUN and not idempotent:
            return False
        if not endpoint_left:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
