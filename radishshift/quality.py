"""Accounts of the quality given so far, against each customer's target."""

import math
from dataclasses import dataclass, field
from typing import Any

import numpy as np

__all__ = ["QualityAccount", "QualityAccounts"]

ANSWER_DEVIATION = 0.22
CORRECTION_MAX = 0.08
ACCOUNTS_MAX = 10_000
HORIZON_ANSWERS_MIN = 400.0
HORIZON_SHARE = 0.25
SIZE_WEIGHT_MIN = 0.01
BIAS_PRIOR_WEIGHT = 200.0
BIAS_WEIGHT_MIN = 1 / 1000


@dataclass(slots=True)
class QualityAccount:
    """How a customer's answers in a class stand against the target.

    Attributes
    ----------
    surplus : float
        Sum of expected quality less the target.
    answers : int
    risky_tries : int
        Tries of versions that may be below the floor.
    """

    surplus: float = 0.0
    answers: int = 0
    risky_tries: int = 0

    def wanted(self, target: float, margin: float) -> float:
        """Return the mean quality to aim at next.

        The surplus is steered to `margin` standard deviations of the sum of the
        answers so far, so that chance alone seldom takes the mean below the target.
        """
        aim = margin * ANSWER_DEVIATION * math.sqrt(self.answers + 1)
        horizon = max(HORIZON_ANSWERS_MIN, HORIZON_SHARE * self.answers)
        correction = (aim - self.surplus) / horizon
        return target + max(-CORRECTION_MAX, min(CORRECTION_MAX, correction))


@dataclass(slots=True)
class _Size:
    prompt_tokens: float = 0.0
    completion_tokens: float = 0.0
    seen: int = 0


@dataclass(slots=True)
class _Bias:
    mean: float = 0.0
    seen: float = BIAS_PRIOR_WEIGHT

    def add(self, excess: float) -> None:
        self.seen += 1
        weight = max(1 / self.seen, BIAS_WEIGHT_MIN)
        self.mean += weight * (excess - self.mean)


@dataclass(slots=True)
class QualityAccounts:
    """Accounts of one host, and what its planner keeps between requests.

    Attributes
    ----------
    rng : Generator
        Draws which plan of a mix is taken.
    tables : dict
        Plans worked out by class; each planner's own.
    """

    rng: np.random.Generator = field(default_factory=np.random.default_rng)
    tables: dict[tuple, Any] = field(default_factory=dict)
    _accounts: dict[tuple[str, str], QualityAccount] = field(default_factory=dict)
    _sizes: dict[str, _Size] = field(default_factory=dict)
    _biases: dict[str, _Bias] = field(default_factory=dict)

    def bias(self, task_class: str) -> float:
        """Return by how much ratings of a class exceed what was expected of late."""
        bias = self._biases.get(task_class)
        return 0.0 if bias is None else bias.mean

    def record_rating_excess(self, task_class: str, excess: float) -> None:
        """Note by how much a rating exceeds what was expected of the answer."""
        self._biases.setdefault(task_class, _Bias()).add(excess)

    def account(self, customer: str, task_class: str) -> QualityAccount:
        """Return the account of a customer in a class."""
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
        """Take in a request's tokens; return the moving means of its class."""
        size = self._sizes.setdefault(task_class, _Size())
        size.seen += 1
        weight = max(1.0 / size.seen, SIZE_WEIGHT_MIN)
        size.prompt_tokens += weight * (prompt_tokens - size.prompt_tokens)
        size.completion_tokens += weight * (completion_tokens - size.completion_tokens)
        return size.prompt_tokens, size.completion_tokens
