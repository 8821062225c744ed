"""Counters and latency histograms of a gateway host.

The metrics library takes a third of a second to import, which would delay the start
of a host under load. Until it is imported, samples are kept in a bounded buffer.
"""

from collections import Counter, deque
from collections.abc import Callable

__all__ = ["Monitor"]

MAX_BUFFERED_SAMPLES = 5000


class Monitor:
    """Collects the metrics of a host.

    Parameters
    ----------
    host, data_centre : str
    """

    def __init__(self, host: str, data_centre: str) -> None:
        self._host = host
        self._data_centre = data_centre
        self._samples: deque[tuple[str, int, str, float]] = deque(
            maxlen=MAX_BUFFERED_SAMPLES
        )
        self._gauges: dict[str, Callable[[], float]] = {}
        self.outcomes: Counter[str] = Counter()
        self._instruments = None

    def record_request(
        self, route: str, status: int, error: str, took_s: float
    ) -> None:
        """Count a finished request."""
        self.outcomes[error or "ok"] += 1
        if self._instruments is None:
            self._samples.append((route, status, error, took_s))
        else:
            self._instruments.record_request(route, status, error, took_s)

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Expose a value as a gauge, read at each scrape."""
        self._gauges[name] = read

    def exposition(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        if self._instruments is None:
            # Imported late, see the module docstring.
            from radishshift.gateway.instruments import Instruments

            self._instruments = Instruments(self._host, self._data_centre, self._gauges)
            while self._samples:
                self._instruments.record_request(*self._samples.popleft())
        return self._instruments.exposition()
