"""Relays answers that are streams of server-sent events."""

import asyncio
import math

from radishshift.decisions.model_choice import (
    first_model,
    interpolated_time_s,
    next_model,
)
from radishshift.errors import EndpointError, NoEndpointError, StreamBrokenError
from radishshift.gateway.attempts import Attempt
from radishshift.gateway.complete_answers import check_signature
from radishshift.gateway.dispatch import Dispatcher
from radishshift.gateway.event_buffer import EventBuffer
from radishshift.gateway.job_retries import (
    RetryRefusal,
    acquire_retry,
    give_back_retry,
    may_repeat,
    refuse_retry,
    retry_allowed,
)
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import CallerAnswer
from radishshift.verdicts import Verdict

__all__ = ["StreamRelay"]

# Events are gathered for this share of `event_latency_s`. Fewer packets mean fewer
# retransmissions, each of which delays the stream for longer than that.
COALESCE_SHARE = 0.4
MIN_TIMED_EVENTS = 8  # events after which the mean time between them is recorded
MAX_RESUMES = 4
# For a begun stream to wait for an endpoint; those that crashed are back by then.
ENDPOINT_WAIT_S = 3.0
ENDPOINT_CHECK_INTERVAL_S = 0.1
# Twice as long as an engine that reads long prompts pauses between two events. An event
# is some hundred bytes, so one that takes longer is not merely slow.
EVENT_TIMEOUT_S = 4.0
# Share of the objective after which the small model's answer is kept.
ESCALATION_DEADLINE_SHARE = 0.5


class StreamRelay:
    """Relays one stream, with retries at other endpoints and escalation of the model.

    Parameters
    ----------
    dispatcher : Dispatcher
    job : Job
    caller : CallerAnswer

    Attributes
    ----------
    model : str
        Model chosen to answer, or empty if the caller named one.
    escalated : bool
        Whether the request was escalated to a larger model.
    first_at : float
        Instant at which the first event was forwarded, 0 before.
    writes : int
        Number of writes in which the events were forwarded.
    max_pause_s : float
        Longest time between two writes.
    """

    def __init__(self, dispatcher: Dispatcher, job: Job, caller: CallerAnswer) -> None:
        self._dispatcher = dispatcher
        self._job = job
        self._caller = caller
        self._buffer = EventBuffer()
        self._resumes = 0
        self._endpoint_by = 0.0
        models = job.route.models
        self.model = first_model(models) if models else ""
        self.escalated = False
        self.first_at = 0.0
        self.writes = 0
        self.max_pause_s = 0.0
        self._last_write_at = 0.0

    @property
    def events(self) -> int:
        """Return how many events were received."""
        return self._buffer.events

    async def run(self) -> int:
        """Relay the complete stream and return the status that was sent.

        Raises
        ------
        EndpointError, NoEndpointError, DeadlineError
        """
        failure: EndpointError | None = None
        while True:
            version = self._job.version
            try:
                status = await self._attempt()
            except EndpointError as exc:
                failure = exc
                if not await self._acquire_retry(exc):
                    raise
                self._buffer.discard_partial_event()
                continue
            except NoEndpointError as exc:
                if failure is None or not self._caller.started:
                    raise
                self._job.version = version
                await self._wait_for_endpoint(exc)
                if not await self._acquire_resume(failure):
                    raise
                continue
            if status is not None:
                return status

    async def _wait_for_endpoint(self, exc: NoEndpointError) -> None:
        """Give the retry that no endpoint took back, and wait before another try.

        Raises
        ------
        NoEndpointError
        """
        give_back_retry(self._dispatcher, self._job)
        left_s = self._endpoint_by - self._dispatcher.clock.now()
        wait_s = max(exc.retry_after_s or 0.0, ENDPOINT_CHECK_INTERVAL_S)
        if wait_s > left_s:
            raise exc
        await asyncio.sleep(wait_s)

    async def _acquire_retry(self, exc: EndpointError) -> bool:
        """Acquire a retry, if allowed; once events were forwarded it is a resume."""
        job = self._job
        if self._caller.started:
            if exc.verdict is not Verdict.NOT_RUN:
                self._resumes += 1
            if not job.route.resumable:
                refuse_retry(self._dispatcher, job, RetryRefusal.NOT_RESUMABLE)
                return False
            if self._resumes > MAX_RESUMES:
                refuse_retry(self._dispatcher, job, RetryRefusal.ATTEMPTS_USED)
                return False
            now = self._dispatcher.clock.now()
            self._endpoint_by = min(now + ENDPOINT_WAIT_S, job.deadline)
        return await self._acquire_resume(exc)

    async def _acquire_resume(self, exc: EndpointError) -> bool:
        """Acquire a retry; wait until one is left if an answer was begun or dropped."""
        dispatcher = self._dispatcher
        until = -math.inf
        if self._caller.started or self.escalated:
            until = dispatcher.clock.now() + dispatcher.bounds.retry_window_s
        return await acquire_retry(
            dispatcher, self._job, exc, min(until, self._job.deadline)
        )

    async def _attempt(self) -> int | None:
        """Run one attempt; return the status, or None if another attempt is due."""
        dispatcher = self._dispatcher
        job = self._job
        dispatcher.check_before_attempt(job)
        target = await dispatcher.choose_target(job, self.model)
        dispatcher.check_before_attempt(job)  # placement takes time
        with dispatcher.attempt(job, target, self.model) as attempt:
            attempt.may_retry = self._resumes < MAX_RESUMES and may_repeat(job)
            resume_after_id = self._buffer.last_event_id or job.req.last_event_id
            answer = await dispatcher.open(attempt, resume_after_id)
            job.may_have_run = True
            if answer.status != 200:
                return await self._handle_error_answer(attempt)
            check_signature(answer)
            dispatcher.record_first_event(attempt)
            if not self._caller.started and await self._escalate(attempt):
                return None
            await self._relay(attempt)
            dispatcher.record_completion(attempt, resumed=bool(resume_after_id))
            return 200

    async def _handle_error_answer(self, attempt: Attempt) -> int | None:
        """Handle an answer whose status is not 200: retry elsewhere or forward it."""
        answer = attempt.answer
        body = await answer.read()
        if answer.status >= 500:
            error = EndpointError(f"the endpoint answered {answer.status}")
            if self._caller.started or await self._replace_failed(attempt, error):
                raise error
            self._dispatcher.record_version_answer(attempt, False)
        if self._caller.started:
            raise EndpointError(f"the endpoint answered {answer.status}")
        await self._caller.send(answer.status, answer.headers, body)
        return answer.status

    async def _replace_failed(self, attempt: Attempt, error: EndpointError) -> bool:
        """Return whether another attempt takes the place of one that failed whole."""
        replacements = self._dispatcher.replacements
        if not retry_allowed(self._dispatcher, self._job, error):
            return False
        held = await replacements.hold(attempt, elsewhere=False)
        return held is not None and replacements.commit(held)

    async def _escalate(self, attempt: Attempt) -> bool:
        """Switch to a larger model if the confidence of the begun answer is too low.

        Escalation spends a retry of the budget. The answer is dropped only once the
        target of the larger model's attempt is held.

        Returns
        -------
        bool
            Whether the model was changed, so that a new attempt is due.
        """
        job = self._job
        now = self._dispatcher.clock.now()
        if not job.route.models or job.req.last_event_id or not job.route.idempotent:
            return False
        elapsed_s = now - job.req.received_at
        if elapsed_s > job.route.objective_s * ESCALATION_DEADLINE_SHARE:
            return False
        model = next_model(
            job.route.models,
            self.model,
            attempt.answer.confidence,
            self._expected_first_s,
            job.route.objective_s - elapsed_s,
        )
        if model is None:
            return False
        # A second permit would be taken from another request, or not be had at all.
        if not self._dispatcher.placement.has_unlimited_endpoint(job):
            return False
        replacements = self._dispatcher.replacements
        held = await replacements.hold_for_model(attempt, model)
        if held is None or not replacements.commit(held):
            return False
        self.model = model
        self.escalated = True
        return True

    def _expected_first_s(self, model: str) -> float:
        """Return the expected time to the first event of a model."""
        dispatcher = self._dispatcher
        job = self._job
        known_s = {
            candidate: dispatcher.mean_first_event_s(job, candidate)
            for candidate in job.route.models
        }
        known_s = {candidate: time_s for candidate, time_s in known_s.items() if time_s}
        costs = dispatcher.host_view.model_costs(job.service)
        return interpolated_time_s(model, known_s, costs)

    async def _relay(self, attempt: Attempt) -> None:
        """Forward the events of one attempt, up to the end of the stream."""
        dispatcher = self._dispatcher
        buffer = self._buffer
        events_before = buffer.events
        began_at = dispatcher.clock.now()
        event_at = began_at
        timed = False
        while data := await dispatcher.next_bytes(attempt):
            if buffer.events > events_before:
                await asyncio.sleep(COALESCE_SHARE * dispatcher.bounds.event_latency_s)
                data += attempt.answer.buffered_bytes()
            events = buffer.feed(data)
            now = dispatcher.clock.now()
            if not events:
                unfinished_s = now - event_at
                if unfinished_s > EVENT_TIMEOUT_S:
                    await dispatcher.stalled.replace_incomplete(
                        attempt, f"no complete event in {unfinished_s:.1f} s"
                    )
                continue
            event_at = now
            await self._forward(attempt, events)
            received = buffer.events - events_before
            if not timed and received >= MIN_TIMED_EVENTS:
                timed = True
                took_s = dispatcher.clock.now() - began_at
                dispatcher.record_duration(attempt, "event", took_s / received)
        if not buffer.at_event_boundary:
            raise StreamBrokenError("the stream ended within an event")
        if not self._caller.started:
            await self._caller.start(200, attempt.answer.headers)
        if not events_before and not self._job.req.last_event_id:
            dispatcher.record_stream(attempt)
        await self._caller.finish()

    async def _forward(self, attempt: Attempt, events: bytes) -> None:
        if not self._caller.started:
            self.first_at = self._dispatcher.clock.now()
            await self._caller.start(200, attempt.answer.headers)
        self.writes += 1
        now = self._dispatcher.clock.now()
        if self._last_write_at:
            self.max_pause_s = max(self.max_pause_s, now - self._last_write_at)
        self._last_write_at = now
        await self._caller.write(events)
