"""How long streams take, and which of them a host that stops may still accept.

Load pattern: hosts are stopped one after the other under load. The balancer notices
after two seconds, and callers keep their connections, so requests of any length go on
arriving at a host that will be killed in a few seconds.
"""

from collections.abc import Collection

from radishshift.decisions.moving_averages import MovingAverages

__all__ = ["StreamTimes"]

# A stated length is right in the median; one answer in ten is longer than twice that.
LENGTH_MARGIN = 2.0


class StreamTimes:
    """Times of the streams of each route and model.

    Parameters
    ----------
    times : MovingAverages
        Holds the times to a first event as well, under (route, model, "first").
    """

    def __init__(self, times: MovingAverages) -> None:
        self._times = times

    def record(self, route: str, model: str, tokens: int, took_s: float) -> None:
        """Record the time of a whole answer from its first event on.

        Parameters
        ----------
        tokens : int
            Stated length of the answer, 0 if the caller stated none.
        """
        if tokens > 0:
            self._times.observe((route, model, "token"), took_s / tokens)

    def longest_s(
        self, route: str, models: Collection[str], units: float, tokens: int
    ) -> float | None:
        """Return how long a stream may take, by the slowest model that may answer.

        Parameters
        ----------
        models : collection of str
        units : float
            Prompt units of the request, see `Dispatcher.mean_first_event_s`.
        tokens : int
            Stated length of the answer.

        Returns
        -------
        float or None
            None if the times of none of the models are known.
        """
        known_s = [
            self._times.mean_s((route, model, "first")) * units
            + LENGTH_MARGIN * tokens * token_s
            for model in models
            if (token_s := self._times.mean_s((route, model, "token")))
        ]
        return max(known_s, default=None)
