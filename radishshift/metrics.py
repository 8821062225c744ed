"""OpenTelemetry metrics of a host, exposed in the Prometheus format.

Names follow the OpenTelemetry semantic conventions for generative AI and HTTP where
there is one; the others begin with `radishshift`.
"""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from radishshift.indicators import Sample

__all__ = ["Metrics"]

SECONDS = "s"
FIRST_TOKEN_BOUNDS_S = [0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 2, 5, 10, 30]
BETWEEN_TOKENS_BOUNDS_S = [0.01, 0.02, 0.03, 0.04, 0.05, 0.058, 0.075, 0.1, 0.25, 1]
REQUEST_DURATION_BOUNDS_S = [0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300]


class Metrics:
    """Instruments of one host, with their own registry.

    Parameters
    ----------
    host, data_centre : str
    """

    def __init__(self, host: str, data_centre: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        attributes = {
            "service.name": "radishshift-entry",
            "service.instance.id": host,
            "cloud.availability_zone": data_centre,
        }
        self._provider = MeterProvider([reader], Resource(attributes))
        self._create_instruments()

    def _create_instruments(self) -> None:
        meter = self._provider.get_meter("radishshift")
        self._time_to_first_token = meter.create_histogram(
            "gen_ai.server.time_to_first_token",
            unit=SECONDS,
            explicit_bucket_boundaries_advisory=FIRST_TOKEN_BOUNDS_S,
        )
        self._time_per_output_token = meter.create_histogram(
            "gen_ai.server.time_per_output_token",
            unit=SECONDS,
            explicit_bucket_boundaries_advisory=BETWEEN_TOKENS_BOUNDS_S,
        )
        self._request_duration = meter.create_histogram(
            "gen_ai.server.request.duration",
            unit=SECONDS,
            explicit_bucket_boundaries_advisory=REQUEST_DURATION_BOUNDS_S,
        )
        self._tokens = meter.create_counter("radishshift.tokens")
        self._cost = meter.create_counter("radishshift.cost.nano")
        self._refusals = meter.create_counter("radishshift.refusals")

    def record_request(self, sample: Sample) -> None:
        """Record a request that has ended."""
        labels = {
            "gen_ai.request.model": sample.version,
            "radishshift.customer": sample.customer,
            "radishshift.task_class": sample.task_class,
        }
        self._request_duration.record(
            sample.duration_s, {**labels, "radishshift.ok": sample.ok}
        )
        if sample.first_token_s is not None:
            self._time_to_first_token.record(sample.first_token_s, labels)
        if sample.between_tokens_s is not None:
            self._time_per_output_token.record(sample.between_tokens_s, labels)

    def record_bill_item(
        self,
        customer: str,
        served_by: str,
        prompt_tokens: int,
        completion_tokens: int,
        cost: int,
    ) -> None:
        """Record one item of a bill; `cost` is in billionths of the currency unit."""
        labels = {"radishshift.customer": customer, "gen_ai.request.model": served_by}
        self._tokens.add(prompt_tokens, {**labels, "gen_ai.token.type": "input"})
        self._tokens.add(completion_tokens, {**labels, "gen_ai.token.type": "output"})
        self._cost.add(cost, labels)

    def record_error_answer(self, code: str, verdict: str) -> None:
        """Record a request that was answered with an error."""
        labels = {"error.type": code, "radishshift.verdict": verdict}
        self._refusals.add(1, labels)

    def add_gauge(
        self, name: str, read_value: Callable[[], float], unit: str = "1"
    ) -> None:
        """Add a gauge of a current value, such as the size of a table."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read_value())]

        meter = self._provider.get_meter("radishshift")
        meter.create_observable_gauge(f"radishshift.{name}", [observe], unit=unit)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Stop the collection of metrics."""
        self._provider.shutdown()
