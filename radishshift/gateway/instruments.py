"""OpenTelemetry instruments of a gateway host, exported in Prometheus' format."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

__all__ = ["Instruments"]

DURATION_BUCKET_BOUNDS_S = [0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 3, 5, 10, 25]


class Instruments:
    """Metrics of one host, in a Prometheus registry of its own.

    Parameters
    ----------
    host, data_centre : str
    gauges : dict of str to callable
        Functions that return the current values, by gauge name.
    """

    def __init__(
        self, host: str, data_centre: str, gauges: dict[str, Callable[[], float]]
    ) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        attributes = {
            "service.name": "radishshift-entry",
            "service.instance.id": host,
            "cloud.availability_zone": data_centre,
        }
        provider = MeterProvider([reader], Resource(attributes))
        meter = provider.get_meter("radishshift")
        self._duration = meter.create_histogram(
            "http.server.request.duration",
            unit="s",
            explicit_bucket_boundaries_advisory=DURATION_BUCKET_BOUNDS_S,
        )
        self._outcomes = meter.create_counter("radishshift.requests")
        for name, read in gauges.items():
            meter.create_observable_gauge(f"radishshift.{name}", [_observer(read)])

    def record_request(
        self, route: str, status: int, error: str, took_s: float
    ) -> None:
        """Record the duration and the outcome of a finished request."""
        labels = {"http.route": route, "http.response.status_code": status}
        self._duration.record(took_s, labels)
        self._outcomes.add(1, {"http.route": route, "error.type": error or "none"})

    def exposition(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)


def _observer(read: Callable[[], float]):
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        return [Observation(read())]

    return observe
