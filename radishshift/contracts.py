"""Contracts of customers and task classes: limits, quality targets and objectives."""

import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "BLANK_KEY_DIGEST",
    "Contract",
    "Limits",
    "Objectives",
    "QualityTarget",
    "TaskClass",
    "key_digest",
]


def key_digest(key: str) -> str:
    """Return the SHA-256 of an API key, without blanks around it, in hexadecimal."""
    return hashlib.sha256(key.strip().encode("utf-8", "surrogateescape")).hexdigest()


BLANK_KEY_DIGEST = key_digest("")  # no customer's, so that a key is always needed


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the usage of a customer, or of an entry, summed over all hosts.

    Attributes
    ----------
    requests_per_s : float
    tokens_per_s : float
        Prompt and generated tokens together.
    concurrency : int
        Number of requests in flight.
    """

    requests_per_s: float
    tokens_per_s: float
    concurrency: int


@dataclass(frozen=True, slots=True)
class QualityTarget:
    """Required quality of answers in one task class, as rated from 0 to 1.

    Attributes
    ----------
    target : float
        Mean quality that the customer pays for.
    floor : float
        Versions whose expected quality is lower are never used, not even to explore
        their quality.
    """

    target: float
    floor: float


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives of one task class.

    Attributes
    ----------
    first_token_s, between_tokens_s, complete_answer_s : float
        Upper bounds that the share `objective` of requests must meet, in seconds.
    objective : float
        Required share of requests that meet the bounds, from 0 to 1.
    """

    first_token_s: float
    between_tokens_s: float
    complete_answer_s: float
    objective: float


@dataclass(frozen=True, slots=True)
class TaskClass:
    """A kind of work, such as quick checks or season plans.

    Attributes
    ----------
    name : str
    priority : int
        Requests with a lower number are served first.
    deadline_s : float
        Time limit of requests whose caller sets no deadline, in seconds.
    cascade : bool
        Whether a request may be tried on one version and then on a more expensive one.
    objectives : Objectives
    cancel_on_disconnect : bool
        Whether a request is cancelled when its client disconnects; otherwise it
        continues and the caller can fetch the answer later.
    queue_s : float
        Longest time that a request is queued before it is refused, in seconds.
    """

    name: str
    priority: int
    deadline_s: float
    cascade: bool
    objectives: Objectives
    cancel_on_disconnect: bool = False
    queue_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Contract:
    """A customer, what it may use and at what quality.

    Attributes
    ----------
    customer : str
    key_digests : tuple of str
        SHA-256 of each API key, in hexadecimal.
    allowed : frozenset of str
        Names of versions, models and services.
    weight : float
        Relative share of capacity under overload, compared with other customers.
    limits : Limits
    quality : mapping of str to QualityTarget
        By task class.
    default_class : str
        Task class of requests that name none.
    """

    customer: str
    key_digests: tuple[str, ...]
    allowed: frozenset[str]
    weight: float
    limits: Limits
    quality: Mapping[str, QualityTarget]
    default_class: str
