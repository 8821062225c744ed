"""The path of a request through an entry host, from admission to bill."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

import logbook
import xxhash

from radishshift.admission import Admission
from radishshift.answers import Answer, Answers
from radishshift.balance import BalanceQuestion, EndpointLoads, choose
from radishshift.bills import Bill, Biller, BillItem
from radishshift.cascade import PlanQuestion, PlanStep, make_plan
from radishshift.catalogue import Catalogue, ModelVersion
from radishshift.claims import Claims
from radishshift.clocks import Clock
from radishshift.configuration import Configuration
from radishshift.contracts import QualityTarget
from radishshift.endpoints import Endpoint
from radishshift.engines import EngineClient, EngineStream, ServiceReply
from radishshift.errors import (
    EndpointError,
    NoEndpointError,
    NotAllowedError,
    NotFoundError,
    RadishshiftError,
    WithdrawnError,
)
from radishshift.events import DONE, EventScanner, Usage, read_usage
from radishshift.evidence import Evidence, Outcome
from radishshift.limits import Limiter
from radishshift.poison import PoisonWatch
from radishshift.quality import QualityAccounts
from radishshift.requests import ModelRequest, ServiceCall
from radishshift.retries import RetryBudget
from radishshift.sessions import Session, SessionKeys
from radishshift.verdicts import Verdict

__all__ = ["AnswerSink", "Router"]

PREFIX_BYTES = 1024
SESSION_S = 3600.0
ANY_MODEL = "auto"

logger = logbook.Logger("router")


class AnswerSink(Protocol):
    """Where an answer goes while its caller is there."""

    async def start(self, answer: Answer) -> None:
        """Send the status and the headers."""

    async def write(self, data: bytes) -> None:
        """Send a part; returns when there is room for the next."""


@dataclass(slots=True)
class Router:
    """What one entry host routes by.

    Parameters
    ----------
    data_centre : str
    clock : Clock
    configuration : Configuration
    engines : EngineClient
    claims : Claims
    biller : Biller
    answers : Answers
    session_keys : SessionKeys
    admission : Admission
    answer_kept_s : float
        Time that an answer is held after its request came, in seconds.
    """

    data_centre: str
    clock: Clock
    configuration: Configuration
    engines: EngineClient
    claims: Claims
    biller: Biller
    answers: Answers
    session_keys: SessionKeys
    admission: Admission
    answer_kept_s: float
    limiter: Limiter = field(default_factory=Limiter)
    evidence: Evidence = field(default_factory=Evidence)
    accounts: QualityAccounts = field(default_factory=QualityAccounts)
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    poison: PoisonWatch = field(default_factory=PoisonWatch)

    @property
    def catalogue(self) -> Catalogue:
        """Return the catalogue in force."""
        return self.configuration.catalogue

    async def answer_model(self, req: ModelRequest, sink: AnswerSink) -> None:
        """Answer a model request into a sink.

        Raises
        ------
        RadishshiftError
            Nothing has been written; the error is the answer.
        """
        with self.admission.entered():
            self.poison.check(req.fingerprint, self.clock.now())
            tokens = req.prompt_tokens_estimate + req.completion_tokens_bound
            grant = self.limiter.take(req.contract, tokens, self.clock.now())
            self.retry_budget.request_came()
            bill = Bill(req.request_id, req.contract.customer)
            try:
                await self._run_plan(req, bill, sink)
            finally:
                self.limiter.settle(grant, _tokens_of(bill))

    async def _run_plan(self, req: ModelRequest, bill: Bill, sink: AnswerSink) -> None:
        steps = self._steps(req)
        kept_until = self.clock.now() + self.answer_kept_s
        answer = self.answers.open(req.request_id, req.contract.customer, kept_until)
        try:
            for step in steps:
                self._check_version(step.version.name)
                run = _Run(self, req, step.version, bill, answer, sink)
                await run.until_done()
        except RadishshiftError as exc:
            if bill.items:
                await self.biller.secure(bill)
            answer.end(exc)
            raise
        answer.end()

    def _steps(self, req: ModelRequest) -> tuple[PlanStep, ...]:
        if req.session_token:
            now = self.clock.now()
            customer = req.contract.customer
            session = self.session_keys.read(req.session_token, customer, now)
            return (PlanStep(self._session_version(req, session)),)
        named = self.catalogue.versions.get(req.model)
        if named is not None and named.state.keeps_sessions is False:
            raise WithdrawnError(f"{req.model} takes no work: it is {named.state}")
        candidates = tuple(self._candidates(req))
        if not candidates:
            self._refuse_model(req)
        question = PlanQuestion(
            customer=req.contract.customer,
            task_class=req.task_class,
            quality=self._quality(req),
            candidates=candidates,
            prompt_tokens=req.prompt_tokens_estimate,
            completion_tokens=req.completion_tokens_bound,
            deadline=req.deadline,
            now=self.clock.now(),
        )
        planner_name = self.catalogue.policies.planner
        return make_plan(planner_name, question, self.evidence, self.accounts).steps

    def _session_version(self, req: ModelRequest, session: Session) -> ModelVersion:
        version = self.catalogue.versions.get(session.version)
        if version is None or not version.state.keeps_sessions:
            raise WithdrawnError(f"the session's version {session.version} has ended")
        if version not in self.catalogue.allowed_versions(req.contract):
            raise NotAllowedError(f"{session.version} is no longer allowed")
        return version

    def _candidates(self, req: ModelRequest) -> Iterator[ModelVersion]:
        for version in self.catalogue.allowed_versions(req.contract):
            if req.model not in (ANY_MODEL, version.model, version.name):
                continue
            if not version.state.takes_new_sessions:
                continue
            if any(self.catalogue.endpoints_of(version.name)):
                yield version

    def _refuse_model(self, req: ModelRequest) -> None:
        known = {version.model for version in self.catalogue.versions.values()}
        if req.model not in known | set(self.catalogue.versions) | {ANY_MODEL}:
            raise NotFoundError(f"no model {req.model}")
        allowed = [
            version
            for version in self.catalogue.allowed_versions(req.contract)
            if req.model in (ANY_MODEL, version.model, version.name)
        ]
        if not allowed:
            raise NotAllowedError(f"the contract does not allow {req.model}")
        raise NoEndpointError(f"no endpoint serves {req.model}", retry_after_s=1.0)

    def _quality(self, req: ModelRequest) -> QualityTarget:
        usual = QualityTarget(0.0, 0.0)
        return req.contract.quality.get(req.task_class.name, usual)

    def _check_version(self, name: str) -> None:
        version = self.catalogue.versions.get(name)
        if version is None or not version.state.keeps_sessions:
            raise WithdrawnError(f"{name} was withdrawn")

    def choose_endpoint(self, served: str, prefix: bytes, tried: set[str]) -> Endpoint:
        """Return the endpoint for the next attempt.

        Raises
        ------
        NoEndpointError
        """
        question = BalanceQuestion(
            served=served,
            data_centre=self.data_centre,
            prefix_digest=xxhash.xxh3_64_intdigest(prefix[:PREFIX_BYTES]),
            now=self.clock.now(),
        )
        endpoints = [
            endpoint
            for endpoint in self.catalogue.endpoints_of(served)
            if endpoint.name not in tried
        ]
        balancer_name = self.catalogue.policies.balancer
        return choose(balancer_name, question, self.loads.candidates(endpoints))

    async def call_service(self, call: ServiceCall) -> ServiceReply:
        """Answer a call of a plain service.

        Raises
        ------
        RadishshiftError
        """
        with self.admission.entered():
            self.poison.check(call.fingerprint, self.clock.now())
            grant = self.limiter.take(call.contract, 0, self.clock.now())
            try:
                if call.idempotent:
                    return await self._attempt_call(call)
                return await self._call_once(call)
            finally:
                self.limiter.settle(grant, 0)

    async def _call_once(self, call: ServiceCall) -> ServiceReply:
        claim = await self.claims.claim(call)
        if claim.recorded is not None:
            return claim.recorded
        try:
            reply = await self._attempt_call(call)
        except RadishshiftError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                await self.claims.release(claim)
            raise
        await self.claims.record(claim, reply)
        return reply

    async def _attempt_call(self, call: ServiceCall) -> ServiceReply:
        tried: set[str] = set()
        while True:
            endpoint = self.choose_endpoint(call.service, call.body, tried)
            tried.add(endpoint.name)
            self.loads.started(endpoint)
            try:
                reply = await self.engines.call(endpoint, call)
            except EndpointError as exc:
                if not self.retry_budget.allows(
                    exc, call.idempotent, call.deadline, self.clock.now()
                ):
                    raise
                continue
            finally:
                self.loads.ended(endpoint)
            service = self.catalogue.services[call.service]
            bill = Bill(call.request_id, call.contract.customer)
            item = BillItem(call.service, endpoint.name, 0, 0, service.call_price)
            bill.items.append(item)
            await self.biller.secure(bill)
            return reply


def _tokens_of(bill: Bill) -> int:
    return sum(item.prompt_tokens + item.completion_tokens for item in bill.items)


class _Run:
    """One version's try at a request, over as many attempts as it takes."""

    def __init__(
        self,
        router: Router,
        req: ModelRequest,
        version: ModelVersion,
        bill: Bill,
        answer: Answer,
        sink: AnswerSink,
    ) -> None:
        self.router = router
        self.req = req
        self.version = version
        self.bill = bill
        self.answer = answer
        self.sink = sink
        self.started = False

    async def until_done(self) -> None:
        """Try endpoints until one has given the whole answer."""
        router = self.router
        tried: set[str] = set()
        while True:
            endpoint = router.choose_endpoint(
                self.version.name, self.req.body_bytes, tried
            )
            tried.add(endpoint.name)
            try:
                await self._attempt(endpoint, len(tried))
                return
            except EndpointError as exc:
                idempotent = not self.started
                if not router.retry_budget.allows(
                    exc, idempotent, self.req.deadline, router.clock.now()
                ):
                    raise
                logger.info("attempt failed at {}: {}", endpoint.name, exc.message)

    async def _attempt(self, endpoint: Endpoint, number: int) -> None:
        router = self.router
        attempt_id = f"{self.req.request_id}-{self.version.name}-{number}"
        began = router.clock.now()
        router.loads.started(endpoint)
        try:
            async with router.engines.open(
                endpoint, self.req, self.version.name, attempt_id
            ) as stream:
                if self.req.stream:
                    usage = await self._relay(endpoint, stream, began)
                else:
                    usage = await self._collect(stream)
        except EndpointError:
            self._note(endpoint, began, Usage(), ok=False)
            raise
        finally:
            router.loads.ended(endpoint)
        self._note(endpoint, began, usage, ok=True)
        await self._finish(endpoint, usage)

    async def _relay(
        self, endpoint: Endpoint, stream: EngineStream, began: float
    ) -> Usage:
        scanner = EventScanner(self.req.include_usage)
        async for data in stream.chunks():
            events = scanner.feed(data)
            if not events:
                continue
            if not self.started:
                wait_s = self.router.clock.now() - began
                self.router.loads.first_token(endpoint, wait_s)
                await self._start(stream)
            self.answer.append(events)
            await self.sink.write(events)
        if not scanner.done:
            raise EndpointError("the stream ended too soon")
        return scanner.usage or Usage()

    async def _collect(self, stream: EngineStream) -> Usage:
        body = b"".join([data async for data in stream.chunks()])
        usage = read_usage(body)
        if usage is None:
            raise EndpointError("the endpoint's answer is not whole")
        await self._start(stream)
        self.answer.append(body)
        return usage

    async def _start(self, stream: EngineStream) -> None:
        self.started = True
        answer = self.answer
        answer.content_type = stream.content_type
        answer.headers["X-Request-Id"] = self.req.request_id
        answer.headers["X-Radishshift-Version"] = self.version.name
        if self.req.session_token:
            answer.headers["X-Session"] = self.req.session_token
        elif self.req.wants_session:
            answer.headers["X-Session"] = self._new_session()
        await self.sink.start(answer)

    def _new_session(self) -> str:
        session = Session(
            session_id=self.req.request_id,
            customer=self.req.contract.customer,
            version=self.version.name,
            expires=self.router.clock.now() + SESSION_S,
        )
        return self.router.session_keys.issue(session)

    def _note(self, endpoint: Endpoint, began: float, usage: Usage, ok: bool) -> None:
        whole_s = self.router.clock.now() - began
        outcome = Outcome(
            version=self.version.name,
            endpoint=endpoint.name,
            customer=self.req.contract.customer,
            task_class=self.req.task_class.name,
            ok=ok,
            first_token_s=whole_s,
            between_tokens_s=whole_s / max(1, usage.completion_tokens),
            whole_s=whole_s,
            cost=self.version.cost(usage.prompt_tokens, usage.completion_tokens),
        )
        self.router.evidence.record(outcome)

    async def _finish(self, endpoint: Endpoint, usage: Usage) -> None:
        cost = self.version.cost(usage.prompt_tokens, usage.completion_tokens)
        item = BillItem(
            self.version.name,
            endpoint.name,
            usage.prompt_tokens,
            usage.completion_tokens,
            cost,
        )
        self.bill.items.append(item)
        await self.router.biller.secure(self.bill)
        last = DONE if self.req.stream else b""
        if last:
            self.answer.append(last)
            await self.sink.write(last)
        else:
            await self.sink.write(b"".join(self.answer.parts))
