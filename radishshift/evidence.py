"""What is known of versions from the attempts and ratings seen so far."""

from dataclasses import dataclass

__all__ = ["Evidence", "Outcome", "QualityEstimate"]

PRIOR_WEIGHT = 20.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt went.

    Attributes
    ----------
    version, endpoint, customer, task_class : str
    ok : bool
    first_token_s, whole_s : float
        Seconds from the start of the attempt.
    between_tokens_s : float
        Mean time between events, in seconds.
    cost : int
        In billionths of the currency unit.
    """

    version: str
    endpoint: str
    customer: str
    task_class: str
    ok: bool
    first_token_s: float
    between_tokens_s: float
    whole_s: float
    cost: int


@dataclass(frozen=True, slots=True)
class QualityEstimate:
    """Expected quality of a version in a task class.

    Attributes
    ----------
    mean : float
        From 0 to 1.
    ratings : float
        Weight of the ratings behind it.
    """

    mean: float
    ratings: float


class Evidence:
    """Pooled outcomes and ratings."""

    def __init__(self) -> None:
        self._ratings: dict[tuple[str, str], tuple[float, float]] = {}
        self.outcomes: list[Outcome] = []

    def record(self, outcome: Outcome) -> None:
        """Take in how an attempt went."""
        self.outcomes.append(outcome)
        del self.outcomes[:-1000]

    def rate(self, version: str, task_class: str, score: float) -> None:
        """Take in a rating from 0 to 1."""
        total, weight = self._ratings.get((version, task_class), (0.0, 0.0))
        self._ratings[version, task_class] = (total + score, weight + 1)

    def quality(self, version: str, task_class: str, prior: float) -> QualityEstimate:
        """Return the expected quality, from a prior and the ratings."""
        total, weight = self._ratings.get((version, task_class), (0.0, 0.0))
        mean = (prior * PRIOR_WEIGHT + total) / (PRIOR_WEIGHT + weight)
        return QualityEstimate(mean, weight)
