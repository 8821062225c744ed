"""Attempts of one version at a model request."""

import asyncio
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field

import logbook

from radishshift.answers import Answer, Answers, AnswerSink
from radishshift.assembly import assemble
from radishshift.background import BackgroundTasks
from radishshift.bills import Bill, Biller, BillItem
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
    HungUpError,
    ResumeRefusedError,
    StreamBrokenError,
    StreamSilentError,
)
from radishshift.events import DONE, EventScanner, Usage
from radishshift.evidence import Evidence, Outcome
from radishshift.loads import EndpointLoads
from radishshift.poison_trials import PoisonGuard
from radishshift.requests import ModelRequest
from radishshift.retries import RetryBudget
from radishshift.rollout import RolloutGuard
from radishshift.session_keys import SessionKeys
from radishshift.sessions import SESSION_S, Session
from radishshift.timeouts import Sweep
from radishshift.verdicts import Verdict

__all__ = ["AttemptContext", "VersionRun"]

ATTEMPT_ID_BYTES = 6
RESUMES_MAX = 4
RESUME_PAUSE_S = 0.05

logger = logbook.Logger("attempts")


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """What attempts use of their host.

    Parameters
    ----------
    chooser : EndpointChooser
    first_token : callable
        Told how long an endpoint took to the first token of a request, in seconds.
    guard : RolloutGuard, optional
    """

    clock: Clock
    engines: EngineClient
    chooser: EndpointChooser
    loads: EndpointLoads
    poison: PoisonGuard
    retry_budget: RetryBudget
    evidence: Evidence
    answers: Answers
    biller: Biller
    session_keys: SessionKeys
    sweep: Sweep
    background: BackgroundTasks
    first_token: Callable[[Endpoint, ModelRequest, float], None]
    guard: RolloutGuard | None = None


class _HangUpWatch:
    """Ends a timeout early once the caller has gone."""

    def __init__(self, sink: AnswerSink, timeout: asyncio.Timeout) -> None:
        self._sink = sink
        self._timeout = timeout
        self.hung_up = False

    def check(self, now: float) -> None:
        """Look whether the caller is still there."""
        if self._sink.gone and not self.hung_up:
            self.hung_up = True
            self._timeout.reschedule(asyncio.get_running_loop().time())


@dataclass(slots=True)
class _Attempt:
    """What has come of one attempt so far."""

    attempt_id: str
    began: float
    scanner: EventScanner
    first_token_at: float | None = None
    dispatched: bool = False
    broke: bool = False
    collected: bytearray = field(default_factory=bytearray)


class VersionRun:
    """One version's try at a request, over as many attempts as it takes.

    Parameters
    ----------
    context : AttemptContext
    req : ModelRequest
    version : ModelVersion
    bill : Bill
        Each attempt that gave an answer adds an item.
    answer : Answer
    sink : AnswerSink
    buffered : bool
        Whether the answer is kept back until `release`.

    Attributes
    ----------
    deadline : float
        Instant by which the answer must be whole.
    started : bool
        Whether a part of the answer may have reached the caller; nothing is run
        again from then on.
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
        self._collected = b""

    @property
    def events(self) -> bytes:
        """Return the whole events that the answer is made of."""
        return self._collected or bytes(self.answer.data).removesuffix(DONE)

    async def execute(self) -> None:
        """Try endpoints until one has given the whole answer."""
        context = self.context
        tried: set[str] = set()
        kv_source = context.chooser.kv_source(self.req, self.version.name)
        while True:
            endpoint = context.chooser.choose(
                self.version.name, self.req.body_bytes, tried
            )
            tried.add(endpoint.name)
            if kv_source is not None:
                await context.chooser.import_kv(self.req, kv_source, endpoint)
            try:
                await self._attempt(endpoint)
                return
            except EndpointError as exc:
                if self.started or not context.retry_budget.allows(
                    exc, True, self.deadline, context.clock.now()
                ):
                    raise
                logger.info("attempt failed at {}: {}", endpoint.name, exc.message)

    async def _attempt(self, endpoint: Endpoint) -> None:
        context = self.context
        req = self.req
        attempt_id = f"{req.request_id}.{secrets.token_hex(ATTEMPT_ID_BYTES)}"
        keep_usage = req.include_usage or not req.stream
        scanner = EventScanner(keep_usage, attempt_id)
        attempt = _Attempt(attempt_id, context.clock.now(), scanner)
        context.loads.record_start(endpoint, context.clock.now())
        self.answer.attempting = True
        failed = False
        try:
            async with self._guarded(), self._tried_apart(endpoint):
                await self._receive(endpoint, attempt)
        except BaseException as exc:
            failed = isinstance(exc, EndpointError)
            self._give_up(endpoint, attempt, exc)
            if _is_crash(exc, attempt):
                await context.poison.tell_crash(req.fingerprint, endpoint.name)
            raise
        finally:
            self.answer.attempting = False
            context.loads.record_end(endpoint, context.clock.now(), not failed)
        self.answer.ran = Verdict.RAN
        usage = scanner.usage or Usage(req.prompt_tokens_estimate, scanner.events)
        self._note(endpoint, attempt, usage, ok=True)
        await self._finish(endpoint, attempt, usage)

    def _tried_apart(self, endpoint: Endpoint) -> AbstractAsyncContextManager[None]:
        req = self.req
        poison = self.context.poison
        return poison.tried_apart(req.fingerprint, endpoint.name, req.deadline)

    @asynccontextmanager
    async def _guarded(self) -> AsyncIterator[None]:
        """Bound what is done by the deadline, and by the caller's patience."""
        req = self.req
        remaining_s = self.deadline - self.context.clock.now()
        if remaining_s <= 0:
            raise DeadlineError("the deadline has passed", verdict=Verdict.NOT_RUN)
        timeout = asyncio.timeout(remaining_s)
        watch = _HangUpWatch(self.sink, timeout)
        if req.task_class.cancel_on_hang_up:
            self.context.sweep.add(watch)
        try:
            async with timeout:
                yield
        except TimeoutError as exc:
            if watch.hung_up:
                raise HungUpError("the caller hung up") from exc
            raise DeadlineError("the deadline has passed") from exc
        finally:
            self.context.sweep.discard(watch)

    async def _receive(self, endpoint: Endpoint, attempt: _Attempt) -> None:
        """Take the whole stream, over as many connections as it takes."""
        engines = self.context.engines
        scanner = attempt.scanner
        opening = engines.open(
            endpoint, self.req, self.version.name, attempt.attempt_id
        )
        failures = 0
        while True:
            events_before = scanner.events
            try:
                async with opening as stream:
                    attempt.dispatched = True
                    await self._relay(endpoint, attempt, stream)
                    return
            except ResumeRefusedError:
                raise
            except EndpointError as exc:
                broke = isinstance(exc, StreamBrokenError)
                if not attempt.dispatched and not broke:
                    raise
                attempt.dispatched = True
                attempt.broke |= broke and not isinstance(exc, StreamSilentError)
                failures = 1 if scanner.events > events_before else failures + 1
                if failures >= RESUMES_MAX:
                    raise
                logger.info("stream of {} is resumed: {}", endpoint.name, exc.message)
            scanner.restart()
            await asyncio.sleep(RESUME_PAUSE_S * failures)
            opening = engines.resume(endpoint, attempt.attempt_id, scanner.events)

    async def _relay(
        self, endpoint: Endpoint, attempt: _Attempt, stream: EngineStream
    ) -> None:
        """Pass on what comes over one connection, up to the end mark."""
        scanner = attempt.scanner
        paused = False
        first_events = b""

        def take(data: bytes) -> bool:
            nonlocal paused, first_events
            events = scanner.feed(data)
            if events:
                if attempt.first_token_at is None:
                    self._first_token(endpoint, attempt)
                if self.buffered or not self.req.stream:
                    self._collect(attempt, events)
                elif self.started:
                    self.answer.append(events)
                    paused = not self.sink.push(events)
                else:
                    first_events = events
                    paused = True
                if scanner.broken is not None and not paused:
                    raise scanner.broken
            return not (paused or scanner.done)

        while True:
            paused = False
            await stream.forward(take)
            if first_events:
                await self._begin(first_events)
                first_events = b""
            if scanner.done or not paused:
                break
            if scanner.broken is not None:
                raise scanner.broken
            await self.sink.drain()
        if not scanner.done:
            raise StreamBrokenError("the stream ended too soon")
        await stream.end()

    async def _begin(self, events: bytes) -> None:
        await self._start("text/event-stream")
        self.answer.append(events)
        await self.sink.write(events)

    def _first_token(self, endpoint: Endpoint, attempt: _Attempt) -> None:
        attempt.first_token_at = self.context.clock.now()
        wait_s = attempt.first_token_at - attempt.began
        self.context.first_token(endpoint, self.req, wait_s)

    def _collect(self, attempt: _Attempt, events: bytes) -> None:
        attempt.collected += events
        if len(attempt.collected) > self.context.answers.answer_bytes:
            raise AnswerTooLargeError("the answer is over the bound on answers")

    async def _start(self, content_type: str) -> None:
        self.started = True
        self.req.observation.first_token(self.version.name, self.context.clock.now())
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
            expires=self.context.clock.now() + SESSION_S,
        )
        return self.context.session_keys.issue(session, self.context.clock.now())

    def _give_up(
        self, endpoint: Endpoint, attempt: _Attempt, exc: BaseException
    ) -> None:
        """Note a failed attempt, and let the endpoint stop work on it."""
        verdict = getattr(exc, "verdict", Verdict.MAY_HAVE_RUN)
        if attempt.dispatched:
            verdict = verdict.worst(Verdict.MAY_HAVE_RUN)
        if attempt.scanner.events:
            verdict = Verdict.RAN
        self.answer.ran = self.answer.ran.worst(verdict)
        if verdict is not Verdict.NOT_RUN:
            self._bill_unpaid(endpoint, attempt)
        if isinstance(exc, EndpointError | DeadlineError):
            self._note(endpoint, attempt, Usage(), ok=False)
        if verdict is not Verdict.NOT_RUN:
            self.context.background.run(
                self.context.engines.cancel(endpoint, attempt.attempt_id)
            )

    def _bill_unpaid(self, endpoint: Endpoint, attempt: _Attempt) -> None:
        """Itemise what a failed attempt may have cost, at no cost to the customer."""
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

    def _note(
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
            first_token_s=first_token_at - attempt.began,
            between_tokens_s=(now - first_token_at)
            / max(1, usage.completion_tokens - 1),
            whole_s=now - attempt.began,
            cost=self.version.cost(usage.prompt_tokens, usage.completion_tokens),
            slow=first_token_at - attempt.began > objectives.first_token_s,
        )
        self.context.evidence.record(outcome, now)
        guard = self.context.guard
        if guard is not None and not self.req.session_token:
            guard.pool.record_outcome(outcome)

    async def _finish(
        self, endpoint: Endpoint, attempt: _Attempt, usage: Usage
    ) -> None:
        """Put the attempt on the bill, and let the answer go unless it is held."""
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
        self._collected = bytes(attempt.collected)
        if not self.buffered:
            await self.release()

    async def release(self) -> None:
        """Make the bill safe, then let what was kept back go."""
        await self.context.biller.secure(self.bill)
        if self.req.stream:
            last = self._collected + DONE
            content_type = "text/event-stream"
        else:
            last = assemble(self._collected, self.req.operation)
            content_type = "application/json"
        self.answer.append(last)
        if not self.started:
            await self._start(content_type)
        await self.sink.write(last)


def _is_crash(exc: BaseException, attempt: _Attempt) -> bool:
    """Tell a crash of the endpoint from a connection that failed.

    A stream that broke is asked for on a new connection first. Only an endpoint
    that has lost it, or takes no connection any more, is held to have crashed.
    """
    if isinstance(exc, ResumeRefusedError):
        return attempt.broke
    if isinstance(exc, EndpointCrashedError):
        return True
    lost = isinstance(exc, EndpointError) and exc.verdict is Verdict.NOT_RUN
    return lost and attempt.broke
