"""Relays complete (non-streamed) answers."""

from radishshift.errors import EndpointError, NoEndpointError
from radishshift.gateway.attempts import Attempt
from radishshift.gateway.dispatch import Dispatcher
from radishshift.gateway.job_retries import acquire_retry, may_repeat
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import CallerAnswer, EndpointAnswer
from radishshift.verdicts import Verdict

__all__ = [
    "check_signature",
    "relay_complete_answer",
]


async def relay_complete_answer(
    dispatcher: Dispatcher, job: Job, caller: CallerAnswer
) -> int:
    """Run a job until an endpoint has answered and return the status that was sent.

    Raises
    ------
    EndpointError, NoEndpointError, DeadlineError
    """
    failure: tuple[EndpointAnswer, bytes] | None = None
    while True:
        try:
            answer, body = await _attempt(dispatcher, job)
        except (EndpointError, NoEndpointError) as exc:
            if isinstance(exc, EndpointError) and await acquire_retry(
                dispatcher, job, exc
            ):
                continue
            if failure is None:
                raise
            answer, body = failure
            break
        if answer.status < 500 or not _acquire_retry_elsewhere(dispatcher, job):
            break
        failure = (answer, body)
    await caller.send(answer.status, answer.headers, body)
    return answer.status


async def _attempt(dispatcher: Dispatcher, job: Job) -> tuple[EndpointAnswer, bytes]:
    dispatcher.check_before_attempt(job)
    target = await dispatcher.choose_target(job)
    dispatcher.check_before_attempt(job)  # placement takes time
    with dispatcher.attempt(job, target, "") as attempt:
        attempt.may_retry = may_repeat(job)
        answer = await dispatcher.open(attempt)
        body = await answer.read()
        check_signature(answer)
        job.may_have_run = True
        _record_outcome(dispatcher, attempt, answer)
        return answer, body


def check_signature(answer: EndpointAnswer) -> None:
    """Raise if a successful answer lacks the endpoint's signature.

    Raises
    ------
    EndpointError
    """
    if answer.status < 300 and not answer.signed:
        raise EndpointError("the answer has no signature", verdict=Verdict.RAN)


def _record_outcome(
    dispatcher: Dispatcher, attempt: Attempt, answer: EndpointAnswer
) -> None:
    if answer.status >= 500:
        attempt.job.failed_endpoints.append(attempt.member.name)
        dispatcher.record_version_answer(attempt, False)
        return
    dispatcher.record_completion(attempt)
    dispatcher.record_duration(
        attempt, "whole", dispatcher.clock.now() - attempt.began_at
    )


def _acquire_retry_elsewhere(dispatcher: Dispatcher, job: Job) -> bool:
    """Acquire a retry at another endpoint after a failed answer, if allowed."""
    return (
        job.route.idempotent
        and job.endpoints_left > 0
        and dispatcher.budget(job.service).try_acquire(dispatcher.clock.now())
    )
