"""Counters and latency histograms of a host on the platform.

The metrics library costs a third of a second to import, which a host that starts
under load does not have. Until it is loaded the samples wait in a bounded buffer.
"""

from collections import Counter, deque
from collections.abc import Callable

__all__ = ["Monitor"]

SAMPLES_MAX = 5000


class Monitor:
    """Collects what a host measures.

    Parameters
    ----------
    host, data_centre : str
    """

    def __init__(self, host: str, data_centre: str) -> None:
        self._host = host
        self._data_centre = data_centre
        self._samples: deque[tuple[str, int, str, float]] = deque(maxlen=SAMPLES_MAX)
        self._gauges: dict[str, Callable[[], float]] = {}
        self.outcomes: Counter[str] = Counter()
        self._instruments = None

    def record_request(
        self, route: str, status: int, error: str, took_s: float
    ) -> None:
        """Take in a request that has ended."""
        self.outcomes[error or "ok"] += 1
        if self._instruments is None:
            self._samples.append((route, status, error, took_s))
        else:
            self._instruments.ended(route, status, error, took_s)

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Show the present value of something."""
        self._gauges[name] = read

    def exposition(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        if self._instruments is None:
            # Imported late: see the module's docstring.
            from radishshift.gateway.instruments import Instruments

            self._instruments = Instruments(self._host, self._data_centre, self._gauges)
            while self._samples:
                self._instruments.ended(*self._samples.popleft())
        return self._instruments.exposition()
