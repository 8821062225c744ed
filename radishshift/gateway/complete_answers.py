"""Requests whose answer is sent in one piece: reads, bookings and the like."""

from radishshift.errors import (
    EndpointError,
    EndpointUnreachableError,
    NoEndpointError,
)
from radishshift.gateway.attempts import Attempt
from radishshift.gateway.dispatch import Dispatcher
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import CallerAnswer, EndpointAnswer
from radishshift.verdicts import Verdict

__all__ = ["relay_complete_answer"]

NOT_RUN_TRIES = 6  # attempts that an endpoint refused or could not be reached for
ATTEMPTS_MOST = 5  # of one request; some of them at endpoints that it was at before


async def relay_complete_answer(
    dispatcher: Dispatcher, job: Job, caller: CallerAnswer
) -> int:
    """Run a job until an endpoint has answered; return the status that was sent.

    Raises
    ------
    EndpointError, NoEndpointError, DeadlineError
    """
    failure: tuple[EndpointAnswer, bytes] | None = None
    while True:
        try:
            answer, body = await _attempt(dispatcher, job)
        except (EndpointError, NoEndpointError) as exc:
            if isinstance(exc, EndpointError) and acquire_retry(dispatcher, job, exc):
                continue
            if failure is None:
                raise
            answer, body = failure
            break
        if answer.status < 500 or not _another(dispatcher, job):
            break
        failure = (answer, body)
    await caller.send(answer.status, answer.headers, body)
    return answer.status


async def _attempt(dispatcher: Dispatcher, job: Job) -> tuple[EndpointAnswer, bytes]:
    dispatcher.check_deadline(job)
    member = dispatcher.choose(job)
    with dispatcher.attempt(job, member, "") as attempt:
        answer = await dispatcher.open(attempt)
        body = await answer.read()
        check_signature(answer)
        job.may_have_run = True
        _note(dispatcher, attempt, answer)
        return answer, body


def check_signature(answer: EndpointAnswer) -> None:
    """Raise if a success is not the endpoint's own.

    Raises
    ------
    EndpointError
    """
    if answer.status < 300 and not answer.signed:
        raise EndpointError("the answer has no signature", verdict=Verdict.RAN)


def _note(dispatcher: Dispatcher, attempt: Attempt, answer: EndpointAnswer) -> None:
    if answer.status >= 500:
        attempt.job.failed_endpoints.append(attempt.member.name)
        dispatcher.record_version_answer(attempt, False)
        return
    dispatcher.record_completion(attempt)
    dispatcher.record_duration(attempt, "whole", dispatcher.clock.now() - attempt.began)


def _another(dispatcher: Dispatcher, job: Job) -> bool:
    """Tell whether an answer that failed is asked for at another endpoint."""
    return (
        job.route.idempotent
        and job.endpoints_left > 0
        and dispatcher.budget(job.service).try_acquire(dispatcher.clock.now())
    )


def acquire_retry(dispatcher: Dispatcher, job: Job, exc: EndpointError) -> bool:
    """Tell whether a failed attempt is followed by another, and take it."""
    now = dispatcher.clock.now()
    if dispatcher.suspects.poisonous(job.fingerprint, now):
        return False
    if isinstance(exc, EndpointUnreachableError):
        # Nothing reached an endpoint, so nothing was repeated.
        return job.attempts <= NOT_RUN_TRIES
    if exc.verdict is Verdict.NOT_RUN:
        allowed = job.attempts <= NOT_RUN_TRIES
    else:
        allowed = job.route.idempotent and job.attempts < ATTEMPTS_MOST
    return allowed and dispatcher.budget(job.service).try_acquire(now)
