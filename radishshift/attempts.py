"""Attempts to answer a model request with one model version."""

import asyncio
import secrets
from collections.abc import Callable, Iterator
from contextlib import AbstractAsyncContextManager, contextmanager
from dataclasses import dataclass, field

import logbook

from radishshift.answers import Answer, Answers, AnswerSink
from radishshift.assembly import assemble_answer
from radishshift.background import BackgroundTasks
from radishshift.bills import Bill, Biller, BillItem
from radishshift.caller_waits import until_no_caller_waits
from radishshift.catalogue import ModelVersion
from radishshift.clocks import Clock
from radishshift.endpoint_choice import EndpointChooser
from radishshift.endpoints import Endpoint
from radishshift.engines import EngineClient, EngineStream
from radishshift.errors import (
    AnswerTooLargeError,
    DeadlineError,
    EndpointCrashedError,
    EndpointError,
    ResumeRefusedError,
    StreamBrokenError,
    StreamStalledError,
)
from radishshift.events import DONE_EVENT, EventScanner, Usage
from radishshift.evidence import Evidence, Outcome
from radishshift.loads import EndpointLoads
from radishshift.periodic_checks import PeriodicChecks
from radishshift.poison_retries import PoisonGuard
from radishshift.requests import ModelRequest
from radishshift.retries import RetryBudget
from radishshift.rollout import RolloutGuard
from radishshift.session_keys import SessionKeys
from radishshift.sessions import SESSION_DURATION_S, Session
from radishshift.stream_connections import StreamConnection
from radishshift.verdicts import Verdict

__all__ = ["AttemptContext", "VersionRun"]

ATTEMPT_ID_BYTES = 6
MAX_FAILURES_WITHOUT_PROGRESS = 4
RESUME_BACKOFF_S = 0.05

logger = logbook.Logger("attempts")


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """Components of the host that attempts use.

    Parameters
    ----------
    chooser : EndpointChooser
    on_first_token : callable
        Called with the time to first token of a request, in seconds.
    guard : RolloutGuard, optional
    """

    clock: Clock
    engines: EngineClient
    chooser: EndpointChooser
    loads: EndpointLoads
    poison_guard: PoisonGuard
    retry_budget: RetryBudget
    evidence: Evidence
    answers: Answers
    biller: Biller
    session_keys: SessionKeys
    periodic_checks: PeriodicChecks
    background: BackgroundTasks
    on_first_token: Callable[[Endpoint, ModelRequest, float], None]
    guard: RolloutGuard | None = None


@dataclass(slots=True)
class _Attempt:
    """State of one attempt.

    `dispatched` tells whether the endpoint may have received the request, and
    `stream_broken` whether a connection was closed or reset, rather than timed out.
    """

    attempt_id: str
    started_at: float
    scanner: EventScanner
    first_token_at: float | None = None
    dispatched: bool = False
    stream_broken: bool = False
    buffered_events: bytearray = field(default_factory=bytearray)


class VersionRun:
    """Answers a request with one model version, in one or more attempts.

    Parameters
    ----------
    context : AttemptContext
    req : ModelRequest
    version : ModelVersion
    bill : Bill
        Each attempt that may have run adds an item.
    answer : Answer
    sink : AnswerSink
    buffered : bool
        Whether the answer is withheld until `release` is called.

    Attributes
    ----------
    deadline : float
        Instant by which the answer must be complete.
    started : bool
        Whether a part of the answer may have reached the caller; no further
        attempt is made from then on.
    """

    def __init__(
        self,
        context: AttemptContext,
        req: ModelRequest,
        version: ModelVersion,
        bill: Bill,
        answer: Answer,
        sink: AnswerSink,
        buffered: bool = False,
    ) -> None:
        self.context = context
        self.req = req
        self.version = version
        self.bill = bill
        self.answer = answer
        self.sink = sink
        self.buffered = buffered
        self.deadline = req.deadline
        self.started = False
        self._tried: set[str] = set()
        self._retry_acquired = False
        self._buffered_events = b""

    @property
    def events(self) -> bytes:
        """Return the complete events of the answer."""
        return self._buffered_events or bytes(self.answer.data).removesuffix(DONE_EVENT)

    async def execute(self) -> None:
        """Try endpoints until one has given the complete answer."""
        context = self.context
        kv_source = context.chooser.kv_source(self.req, self.version.name)
        while True:
            endpoint = context.chooser.choose(
                self.version.name, self.req.body_bytes, self._tried
            )
            self._tried.add(endpoint.name)
            try:
                await self._attempt(endpoint, kv_source)
                return
            except EndpointError as exc:
                if not self._retry_acquired and not self._may_retry(exc):
                    raise
                self._retry_acquired = False
                logger.info(
                    "attempt at endpoint {} failed: {}", endpoint.name, exc.message
                )

    def _may_retry(self, exc: EndpointError) -> bool:
        """Tell whether to try another endpoint; if one is left, take a retry for it."""
        context = self.context
        return not self.started and context.retry_budget.allows(
            exc, True, self.deadline, context.clock.now(), self._endpoint_left
        )

    def _acquire_retry(self, exc: EndpointError) -> bool:
        """Take the retry for which a running attempt is given up, if there is one."""
        self._retry_acquired = self._endpoint_left and self._may_retry(exc)
        return self._retry_acquired

    @property
    def _endpoint_left(self) -> bool:
        return self.context.chooser.has_untried(self.version.name, self._tried)

    async def _attempt(self, endpoint: Endpoint, kv_source: Endpoint | None) -> None:
        with self._counted(endpoint):
            if kv_source is not None:
                await self.context.chooser.import_kv(self.req, kv_source, endpoint)
            attempt = self._new_attempt()
            await self._run(endpoint, attempt)
        self.answer.ended_verdict = Verdict.RAN
        scanner = attempt.scanner
        usage = scanner.usage or Usage(self.req.prompt_tokens_estimate, scanner.events)
        self._record_outcome(endpoint, attempt, usage, ok=True)
        await self._finish(endpoint, attempt, usage)

    @contextmanager
    def _counted(self, endpoint: Endpoint) -> Iterator[None]:
        """Count an attempt in the endpoint's load, from the choice of it on."""
        context = self.context
        context.loads.record_start(endpoint, context.clock.now())
        ok: bool | None = None
        try:
            yield
            ok = True
        except EndpointError:
            ok = False
            raise
        finally:
            context.loads.record_end(endpoint, context.clock.now(), ok)

    def _new_attempt(self) -> _Attempt:
        req = self.req
        attempt_id = f"{req.request_id}.{secrets.token_hex(ATTEMPT_ID_BYTES)}"
        keep_usage = req.include_usage or not req.stream
        scanner = EventScanner(keep_usage, attempt_id)
        return _Attempt(attempt_id, self.context.clock.now(), scanner)

    async def _run(self, endpoint: Endpoint, attempt: _Attempt) -> None:
        """Receive the complete answer, until the deadline or a disconnect."""
        self.answer.attempt_running = True
        try:
            async with self._until_no_caller_waits(), self._isolated(endpoint):
                await self._receive(endpoint, attempt)
        except BaseException as exc:
            self._record_failure(endpoint, attempt, exc)
            if _is_crash(exc, attempt):
                await self.context.poison_guard.report_crash(
                    self.req.fingerprint, endpoint.name
                )
            raise
        finally:
            self.answer.attempt_running = False

    def _isolated(self, endpoint: Endpoint) -> AbstractAsyncContextManager[None]:
        req = self.req
        poison_guard = self.context.poison_guard
        return poison_guard.isolated_retry(req.fingerprint, endpoint.name, req.deadline)

    def _until_no_caller_waits(self) -> AbstractAsyncContextManager[None]:
        context = self.context
        cancels = self.req.task_class.cancel_on_disconnect
        checks = context.periodic_checks if cancels else None
        return until_no_caller_waits(
            context.clock, self.deadline, self.sink, self.answer, checks
        )

    async def _receive(self, endpoint: Endpoint, attempt: _Attempt) -> None:
        """Receive the complete stream, resuming it on a new connection if one fails."""
        failures = 0
        async with StreamConnection() as connection:
            while True:
                events_before = attempt.scanner.events
                try:
                    await self._read(endpoint, attempt, connection)
                    return
                except EndpointError as exc:
                    self._record_stream_failure(attempt, connection, exc)
                    if attempt.scanner.events > events_before:
                        failures = 0
                    may_go_on = connection.stream is not None and not isinstance(
                        exc, StreamStalledError
                    )
                    failures += not may_go_on
                    if self._is_given_up(exc, may_go_on, failures):
                        raise
                    logger.info(
                        "resuming the stream of endpoint {}: {}",
                        endpoint.name,
                        exc.message,
                    )
                await asyncio.sleep(RESUME_BACKOFF_S * failures)

    def _is_given_up(self, exc: EndpointError, may_go_on: bool, failures: int) -> bool:
        """Tell whether to give an attempt up after a failure.

        Parameters
        ----------
        exc : EndpointError
        may_go_on : bool
            Whether its connection is open and silent, but could not be replaced.
        failures : int
            Connections that failed or were silent since the last event.
        """
        if failures >= MAX_FAILURES_WITHOUT_PROGRESS:
            return True
        if may_go_on:
            return self._acquire_retry(exc)
        return isinstance(exc, ResumeRefusedError)

    async def _read(
        self, endpoint: Endpoint, attempt: _Attempt, connection: StreamConnection
    ) -> None:
        """Read the stream to its end, on a new connection if the last one failed.

        A connection that is only silent is kept until its replacement is open. Where
        there is none, the next call reads it again.
        """
        if connection.stream is None or connection.stalled:
            connection.stalled = False
            await connection.replace(self._opening(endpoint, attempt))
            attempt.dispatched = True
            attempt.scanner.discard_partial_event()
        try:
            await self._relay(endpoint, attempt, connection.stream)
        except StreamStalledError:
            connection.stalled = True
            raise
        except EndpointError:
            await connection.close()
            raise

    def _opening(
        self, endpoint: Endpoint, attempt: _Attempt
    ) -> AbstractAsyncContextManager[EngineStream]:
        engines = self.context.engines
        attempt_id = attempt.attempt_id
        if attempt.dispatched:
            return engines.resume(endpoint, attempt_id, attempt.scanner.events)
        return engines.open(endpoint, self.req, self.version.name, attempt_id)

    def _record_stream_failure(
        self, attempt: _Attempt, connection: StreamConnection, exc: EndpointError
    ) -> None:
        """Record what a failure tells of the attempt; raise it if that has not begun.

        Raises
        ------
        EndpointError
        """
        stream_broken = isinstance(exc, StreamBrokenError)
        if not attempt.dispatched and not stream_broken:
            raise exc
        attempt.dispatched = True
        if stream_broken and connection.stream is None:
            attempt.stream_broken |= not isinstance(exc, StreamStalledError)

    async def _relay(
        self, endpoint: Endpoint, attempt: _Attempt, stream: EngineStream
    ) -> None:
        """Relay the events of one connection until the end marker."""
        scanner = attempt.scanner
        paused = False
        first_events = b""

        def process(data: bytes) -> bool:
            nonlocal paused, first_events
            events = scanner.feed(data)
            if events:
                if attempt.first_token_at is None:
                    self._record_first_token(endpoint, attempt)
                if self.buffered or not self.req.stream:
                    self._buffer_events(attempt, events)
                elif self.started:
                    self.answer.append(events)
                    paused = not self.sink.push(events)
                else:
                    first_events = events
                    paused = True
                if scanner.deferred_error is not None and not paused:
                    raise scanner.deferred_error
            return not (paused or scanner.done)

        while True:
            paused = False
            await stream.forward(process)
            if first_events:
                await self._start_stream(first_events)
                first_events = b""
            if scanner.done or not paused:
                break
            if scanner.deferred_error is not None:
                raise scanner.deferred_error
            await self.sink.drain()
        if not scanner.done:
            raise StreamBrokenError("the stream ended before its end marker")
        await stream.finish()

    async def _start_stream(self, events: bytes) -> None:
        await self._start("text/event-stream")
        self.answer.append(events)
        await self.sink.write(events)

    def _record_first_token(self, endpoint: Endpoint, attempt: _Attempt) -> None:
        attempt.first_token_at = self.context.clock.now()
        wait_s = attempt.first_token_at - attempt.started_at
        self.context.on_first_token(endpoint, self.req, wait_s)

    def _buffer_events(self, attempt: _Attempt, events: bytes) -> None:
        attempt.buffered_events += events
        if len(attempt.buffered_events) > self.context.answers.answer_bytes_max:
            raise AnswerTooLargeError("the answer exceeds the size limit for answers")

    async def _start(self, content_type: str) -> None:
        self.started = True
        self.req.observation.record_first_token(
            self.version.name, self.context.clock.now()
        )
        answer = self.answer
        answer.content_type = content_type
        answer.headers["X-Request-Id"] = self.req.request_id
        answer.headers["X-Radishshift-Version"] = self.version.name
        if self.req.session_token:
            answer.headers["X-Session"] = self.req.session_token
        elif self.req.wants_session:
            token = self._new_session()
            if token is not None:
                answer.headers["X-Session"] = token
        answer.start()
        await self.sink.start(answer)

    def _new_session(self) -> str | None:
        session = Session(
            session_id=self.req.request_id,
            customer=self.req.contract.customer,
            version=self.version.name,
            expires=self.context.clock.now() + SESSION_DURATION_S,
        )
        return self.context.session_keys.issue(session, self.context.clock.now())

    def _record_failure(
        self, endpoint: Endpoint, attempt: _Attempt, exc: BaseException
    ) -> None:
        """Record the verdict, operator cost and outcome of a failed attempt.

        If the endpoint may have received it, it is also cancelled there.
        """
        verdict = getattr(exc, "verdict", Verdict.MAY_HAVE_RUN)
        if attempt.dispatched:
            verdict = verdict.worst(Verdict.MAY_HAVE_RUN)
        if attempt.scanner.events:
            verdict = Verdict.RAN
        self.answer.ended_verdict = self.answer.ended_verdict.worst(verdict)
        if verdict is not Verdict.NOT_RUN:
            self._bill_operator(endpoint, attempt)
        if isinstance(exc, EndpointError | DeadlineError):
            self._record_outcome(endpoint, attempt, Usage(), ok=False)
        if verdict is not Verdict.NOT_RUN:
            self.context.background.run(
                self.context.engines.cancel(endpoint, attempt.attempt_id)
            )

    def _bill_operator(self, endpoint: Endpoint, attempt: _Attempt) -> None:
        """Bill a failed attempt to the operator, not to the customer."""
        prompt_tokens = self.req.prompt_tokens_estimate
        completion_tokens = attempt.scanner.events
        item = BillItem(
            self.version.name,
            endpoint.name,
            prompt_tokens,
            completion_tokens,
            0,
            self.version.cost(prompt_tokens, completion_tokens),
        )
        self.bill.items.append(item)

    def _record_outcome(
        self, endpoint: Endpoint, attempt: _Attempt, usage: Usage, ok: bool
    ) -> None:
        now = self.context.clock.now()
        first_token_at = attempt.first_token_at or now
        objectives = self.req.task_class.objectives
        outcome = Outcome(
            version=self.version.name,
            endpoint=endpoint.name,
            customer=self.req.contract.customer,
            task_class=self.req.task_class.name,
            ok=ok,
            first_token_s=first_token_at - attempt.started_at,
            between_tokens_s=(now - first_token_at)
            / max(1, usage.completion_tokens - 1),
            duration_s=now - attempt.started_at,
            cost=self.version.cost(usage.prompt_tokens, usage.completion_tokens),
            slow=first_token_at - attempt.started_at > objectives.first_token_s,
        )
        self.context.evidence.record(outcome, now)
        guard = self.context.guard
        if guard is not None and not self.req.session_token:
            guard.pool.record_outcome(outcome)

    async def _finish(
        self, endpoint: Endpoint, attempt: _Attempt, usage: Usage
    ) -> None:
        """Add the attempt to the bill, and release the answer unless it is buffered."""
        cost = self.version.cost(usage.prompt_tokens, usage.completion_tokens)
        item = BillItem(
            self.version.name,
            endpoint.name,
            usage.prompt_tokens,
            usage.completion_tokens,
            cost,
        )
        self.bill.items.append(item)
        self.req.observation.completion_tokens = usage.completion_tokens
        self._buffered_events = bytes(attempt.buffered_events)
        if not self.buffered:
            await self.release()

    async def release(self) -> None:
        """Store the bill durably, then send the rest of the answer to the caller."""
        await self.context.biller.make_durable(self.bill)
        if self.req.stream:
            last = self._buffered_events + DONE_EVENT
            content_type = "text/event-stream"
        else:
            last = assemble_answer(self._buffered_events, self.req.operation)
            content_type = "application/json"
        self.answer.append(last)
        if not self.started:
            await self._start(content_type)
        await self.sink.write(last)


def _is_crash(exc: BaseException, attempt: _Attempt) -> bool:
    """Tell whether an attempt failed because its endpoint crashed.

    A broken stream is first resumed on a new connection. The endpoint counts as
    crashed only if it no longer knows the stream or accepts no connection.
    """
    if isinstance(exc, ResumeRefusedError):
        return attempt.stream_broken
    if isinstance(exc, EndpointCrashedError):
        return True
    unreachable = isinstance(exc, EndpointError) and exc.verdict is Verdict.NOT_RUN
    return unreachable and attempt.stream_broken
