"""Measurements of a request in progress, and their recording when it ends."""

from dataclasses import dataclass

from radishshift.clocks import Clock
from radishshift.contracts import TaskClass
from radishshift.errors import RadishshiftError
from radishshift.indicators import Indicators, Sample
from radishshift.metrics import Metrics

__all__ = ["Observation", "Observer"]

SERVER_ERROR_STATUS_MIN = 500


@dataclass(slots=True)
class Observation:
    """Measurements of one request while it runs.

    Attributes
    ----------
    version : str
        Version or service whose answer is sent to the caller; empty until then.
    first_token_at : float or None
        Clock reading when the first token for the caller arrived, in seconds.
    completion_tokens : int
    """

    version: str = ""
    first_token_at: float | None = None
    completion_tokens: int = 0

    def record_first_token(self, version: str, now: float) -> None:
        """Record the arrival of the first token of an answer."""
        self.version = version
        self.first_token_at = now


@dataclass(slots=True)
class Observer:
    """Records completed requests in the metrics and service level indicators.

    Parameters
    ----------
    clock : Clock
    metrics : Metrics
    indicators : Indicators
    """

    clock: Clock
    metrics: Metrics
    indicators: Indicators

    def record_request(
        self,
        customer: str,
        task_class: TaskClass,
        arrived_at: float,
        observation: Observation,
        error: RadishshiftError | None,
    ) -> None:
        """Record a request that has ended.

        A refusal caused by the caller, such as an invalid key or an exceeded limit, is
        counted in the metrics but uses no error budget.
        """
        now = self.clock.now()
        if error is not None:
            self.metrics.record_error_answer(error.code, error.verdict.value)
            if error.status < SERVER_ERROR_STATUS_MIN:
                return
        sample = _sample(customer, task_class, arrived_at, observation, error, now)
        self.metrics.record_request(sample)
        self.indicators.record(sample, task_class.objectives, now)


def _sample(
    customer: str,
    task_class: TaskClass,
    arrived_at: float,
    observation: Observation,
    error: RadishshiftError | None,
    now: float,
) -> Sample:
    first_token_s = None
    between_tokens_s = None
    if observation.first_token_at is not None:
        first_token_s = observation.first_token_at - arrived_at
        if observation.completion_tokens > 1:
            streamed_s = now - observation.first_token_at
            between_tokens_s = streamed_s / (observation.completion_tokens - 1)
    return Sample(
        customer=customer,
        task_class=task_class.name,
        version=observation.version,
        ok=error is None,
        first_token_s=first_token_s,
        between_tokens_s=between_tokens_s,
        duration_s=now - arrived_at,
    )
