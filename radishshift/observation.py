"""What is noted of a request on its way, and where it is counted at its end."""

from dataclasses import dataclass

from radishshift.clocks import Clock
from radishshift.contracts import TaskClass
from radishshift.errors import RadishshiftError
from radishshift.indicators import Indicators, Sample
from radishshift.metrics import Metrics

__all__ = ["Observation", "Observer"]

FAULT_STATUS = 500


@dataclass(slots=True)
class Observation:
    """Times and tokens of one request.

    Attributes
    ----------
    version : str
        Version or service whose answer went to the caller; empty before.
    first_token_at : float or None
        Instant at which the caller's first token was there.
    completion_tokens : int
    """

    version: str = ""
    first_token_at: float | None = None
    completion_tokens: int = 0

    def record_first_token(self, version: str, now: float) -> None:
        """Note the first token of an answer."""
        self.version = version
        self.first_token_at = now


@dataclass(slots=True)
class Observer:
    """Counts requests that have ended.

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
        arrived: float,
        observation: Observation,
        error: RadishshiftError | None,
    ) -> None:
        """Count a request.

        A refusal that lies with the caller, such as a bad key or a limit, is shown
        in the metrics and burns no objective.
        """
        now = self.clock.now()
        if error is not None:
            self.metrics.refused(error.code, error.verdict.value)
            if error.status < FAULT_STATUS:
                return
        sample = _sample(customer, task_class, arrived, observation, error, now)
        self.metrics.ended(sample)
        self.indicators.record(sample, task_class.objectives, now)


def _sample(
    customer: str,
    task_class: TaskClass,
    arrived: float,
    observation: Observation,
    error: RadishshiftError | None,
    now: float,
) -> Sample:
    first_token_s = None
    between_tokens_s = None
    if observation.first_token_at is not None:
        first_token_s = observation.first_token_at - arrived
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
        whole_s=now - arrived,
    )
