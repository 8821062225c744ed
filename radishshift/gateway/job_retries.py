"""Whether a request gets a further attempt after one that failed."""

import asyncio
import math
from enum import StrEnum

import logbook

from radishshift.decisions.crash_retries import retry_at
from radishshift.errors import EndpointError, EndpointUnreachableError
from radishshift.gateway.dispatch import Dispatcher
from radishshift.gateway.jobs import Job
from radishshift.verdicts import Verdict

__all__ = [
    "RetryRefusal",
    "acquire_retry",
    "give_back_retry",
    "may_repeat",
    "refuse_retry",
    "retry_allowed",
]

MAX_NOT_RUN_RETRIES = 6  # limit on retries after attempts that did not run
MAX_ATTEMPTS = 5  # of one request, some of them at the same endpoint
BUDGET_CHECK_INTERVAL_S = 0.1

logger = logbook.Logger("dispatch")


class RetryRefusal(StrEnum):
    """Why a request gets no further attempt."""

    NOT_IDEMPOTENT = "not idempotent"
    NOT_RESUMABLE = "not resumable"
    ATTEMPTS_USED = "attempts used up"
    CRASHES_ENDPOINTS = "crashes endpoints"
    BUDGET_SPENT = "retry budget spent"


def may_repeat(job: Job) -> bool:
    """Return whether a job may run once more after an attempt that may have run."""
    return job.route.idempotent and job.attempts < MAX_ATTEMPTS


def retry_allowed(dispatcher: Dispatcher, job: Job, exc: EndpointError) -> bool:
    """Return whether policy and retry budget allow a retry after a failed attempt."""
    return _refusal(dispatcher, job, exc) is None


async def acquire_retry(
    dispatcher: Dispatcher, job: Job, exc: EndpointError, until: float = -math.inf
) -> bool:
    """Acquire a retry after a failed attempt, if policy and retry budget allow it.

    Parameters
    ----------
    dispatcher : Dispatcher
    job : Job
    exc : EndpointError
    until : float, optional
        Instant until which to wait for a retry while the budget is spent.
    """
    if job.held_target is not None:
        return True  # acquired before the attempt was given up
    job.retry_acquired_at = None
    clock = dispatcher.clock
    refusal = _policy_refusal(job, exc) or _budget_refusal(dispatcher, job, exc)
    if refusal in (None, RetryRefusal.BUDGET_SPENT):
        if refusal is None:
            now = clock.now()
            await asyncio.sleep(retry_at(job.lost_at, job.deadline, now) - now)
        refusal = _refusal(dispatcher, job, exc)
        while refusal is RetryRefusal.BUDGET_SPENT and clock.now() < until:
            await asyncio.sleep(BUDGET_CHECK_INTERVAL_S)
            refusal = _refusal(dispatcher, job, exc)
    if refusal is not None:
        refuse_retry(dispatcher, job, refusal)
        return False
    if isinstance(exc, EndpointUnreachableError):
        return True
    job.retry_acquired_at = clock.now()
    return dispatcher.budget(job.service).try_acquire(job.retry_acquired_at)


def give_back_retry(dispatcher: Dispatcher, job: Job) -> None:
    """Give a retry back that was acquired last, and with which nothing was sent."""
    if job.retry_acquired_at is not None:
        dispatcher.budget(job.service).give_back(job.retry_acquired_at)
        job.retry_acquired_at = None


def refuse_retry(dispatcher: Dispatcher, job: Job, refusal: RetryRefusal) -> None:
    """Log and count that a request gets no further attempt."""
    now = dispatcher.clock.now()
    dispatcher.refused_retries[refusal] += 1
    logger.info(
        "retry refused",
        extra={
            "request_id": job.req.request_id,
            "why": refusal.value,
            "attempts": job.attempts,
            "left_s": round(job.deadline - now, 3),
        }
        | dispatcher.budget(job.service).state(now),
    )


def _refusal(
    dispatcher: Dispatcher, job: Job, exc: EndpointError
) -> RetryRefusal | None:
    if dispatcher.suspects.blocking(job.traits, dispatcher.clock.now()):
        return RetryRefusal.CRASHES_ENDPOINTS
    return _policy_refusal(job, exc) or _budget_refusal(dispatcher, job, exc)


def _policy_refusal(job: Job, exc: EndpointError) -> RetryRefusal | None:
    """Return why the attempts so far rule out a further one."""
    not_run = (
        isinstance(exc, EndpointUnreachableError) or exc.verdict is Verdict.NOT_RUN
    )
    if not_run and job.attempts <= MAX_NOT_RUN_RETRIES:
        return None
    if not not_run and not job.route.idempotent:
        return RetryRefusal.NOT_IDEMPOTENT
    if not not_run and may_repeat(job):
        return None
    return RetryRefusal.ATTEMPTS_USED


def _budget_refusal(
    dispatcher: Dispatcher, job: Job, exc: EndpointError
) -> RetryRefusal | None:
    # An attempt that reached no endpoint is repeated without spending the budget.
    if isinstance(exc, EndpointUnreachableError):
        return None
    budget = dispatcher.budget(job.service)
    if budget.available(dispatcher.clock.now()) >= 1:
        return None
    return RetryRefusal.BUDGET_SPENT
