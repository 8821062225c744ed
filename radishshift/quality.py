"""Accounts of delivered answer quality against the target of each customer."""

import math
from dataclasses import dataclass, field
from typing import Any

import numpy as np

__all__ = ["QualityAccount", "QualityAccounts"]

ANSWER_QUALITY_DEVIATION = 0.22  # standard deviation of the quality of one answer
QUALITY_CORRECTION_MAX = 0.08  # largest difference from the target, either way
ACCOUNTS_MAX = 10_000
# Answers over which a shortfall or surplus is corrected: a share of the answers so far,
# and a minimum.
HORIZON_ANSWERS_MIN = 400.0
HORIZON_ANSWERS_SHARE = 0.25
# Weights of the newest sample in moving averages.
SIZE_WEIGHT_MIN = 0.01
BIAS_PRIOR_WEIGHT = 200.0  # in ratings, for a prior of zero
BIAS_WEIGHT_MIN = 1 / 1000


@dataclass(slots=True)
class QualityAccount:
    """Balance of one customer's answers in a task class against the target.

    Attributes
    ----------
    surplus : float
        Sum over the answers of expected quality less the target.
    answers : int
    risky_tries : int
        Requests planned on versions whose quality may be below the floor.
    """

    surplus: float = 0.0
    answers: int = 0
    risky_tries: int = 0

    def required_quality(self, target: float, margin: float) -> float:
        """Return the mean quality to plan the next answers for.

        The surplus is steered towards `margin` standard deviations of the sum of the
        answers so far, so that chance alone rarely takes the mean below the target.
        """
        target_surplus = margin * ANSWER_QUALITY_DEVIATION * math.sqrt(self.answers + 1)
        horizon = max(HORIZON_ANSWERS_MIN, HORIZON_ANSWERS_SHARE * self.answers)
        correction = (target_surplus - self.surplus) / horizon
        return target + max(
            -QUALITY_CORRECTION_MAX, min(QUALITY_CORRECTION_MAX, correction)
        )


@dataclass(slots=True)
class _MeanSize:
    prompt_tokens: float = 0.0
    completion_tokens: float = 0.0
    seen: int = 0


@dataclass(slots=True)
class _Bias:
    """Moving average of ratings less expected quality.

    `total_weight` counts the ratings, and the prior by its weight.
    """

    mean: float = 0.0
    total_weight: float = BIAS_PRIOR_WEIGHT

    def add(self, excess: float) -> None:
        self.total_weight += 1
        weight = max(1 / self.total_weight, BIAS_WEIGHT_MIN)
        self.mean += weight * (excess - self.mean)


@dataclass(slots=True)
class QualityAccounts:
    """Quality accounts of one host, and planner state kept between requests.

    Attributes
    ----------
    rng : Generator
        Chooses among the plans of a mix.
    tables : dict
        Cached plan tables; the planner chooses keys and values.
    """

    rng: np.random.Generator = field(default_factory=np.random.default_rng)
    tables: dict[tuple, Any] = field(default_factory=dict)
    _accounts: dict[tuple[str, str], QualityAccount] = field(default_factory=dict)
    _sizes: dict[str, _MeanSize] = field(default_factory=dict)
    _biases: dict[str, _Bias] = field(default_factory=dict)

    def bias(self, task_class: str) -> float:
        """Return the recent mean of ratings of a class less the expected quality."""
        bias = self._biases.get(task_class)
        return 0.0 if bias is None else bias.mean

    def record_rating_excess(self, task_class: str, excess: float) -> None:
        """Record a rating less the quality that was expected of the answer."""
        self._biases.setdefault(task_class, _Bias()).add(excess)

    def account(self, customer: str, task_class: str) -> QualityAccount:
        """Return the account of a customer in a class, creating it if needed.

        The oldest account is evicted when there are too many.
        """
        key = (customer, task_class)
        account = self._accounts.get(key)
        if account is None:
            if len(self._accounts) >= ACCOUNTS_MAX:
                del self._accounts[next(iter(self._accounts))]
            account = self._accounts[key] = QualityAccount()
        return account

    def update_mean_size(
        self, task_class: str, prompt_tokens: int, completion_tokens: int
    ) -> tuple[float, float]:
        """Add a request to the moving averages of tokens in its class; return them."""
        size = self._sizes.setdefault(task_class, _MeanSize())
        size.seen += 1
        weight = max(1.0 / size.seen, SIZE_WEIGHT_MIN)
        size.prompt_tokens += weight * (prompt_tokens - size.prompt_tokens)
        size.completion_tokens += weight * (completion_tokens - size.completion_tokens)
        return size.prompt_tokens, size.completion_tokens
