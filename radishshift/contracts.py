"""What a customer has agreed: versions, quality, limits and objectives."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["Contract", "Limits", "Objectives", "QualityTarget", "TaskClass"]


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a customer, or an entry, may use over all hosts.

    Attributes
    ----------
    requests_per_s : float
    tokens_per_s : float
        Prompt and generated tokens together.
    concurrency : int
        Requests that have not ended.
    """

    requests_per_s: float
    tokens_per_s: float
    concurrency: int


@dataclass(frozen=True, slots=True)
class QualityTarget:
    """Quality of answers in one task class, as rated from 0 to 1.

    Attributes
    ----------
    target : float
        Mean quality that the customer pays for.
    floor : float
        No version expected to be below it is tried, not even to learn.
    """

    target: float
    floor: float


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives of one task class.

    Attributes
    ----------
    first_token_s, between_tokens_s, complete_answer_s : float
        Bounds that the share `objective` of requests must keep, in seconds.
    objective : float
        Share of good requests, from 0 to 1.
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
        Lower goes first.
    deadline_s : float
        Time a request gets when its caller names no deadline, in seconds.
    cascade : bool
        Whether a request may be tried on one version and then on a dearer one.
    objectives : Objectives
    cancel_on_disconnect : bool
        Whether a request is given up when its caller hangs up; otherwise it goes on
        and the caller can come back for the answer.
    queue_s : float
        Longest wait for room before a request is refused, in seconds.
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
    """A customer and what it may use.

    Attributes
    ----------
    customer : str
    key_digests : tuple of str
        SHA-256 of each API key, in hexadecimal.
    allowed : frozenset of str
        Names of versions, models and services.
    weight : float
        Share of a full system, against other customers'.
    limits : Limits
    quality : mapping of str to QualityTarget
        By task class.
    default_class : str
        Task class of a request that names none.
    """

    customer: str
    key_digests: tuple[str, ...]
    allowed: frozenset[str]
    weight: float
    limits: Limits
    quality: Mapping[str, QualityTarget]
    default_class: str
