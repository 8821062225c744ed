"""Request routing on an entry host, from admission to billing."""

import asyncio
from collections.abc import Iterator, Set
from contextlib import contextmanager
from dataclasses import dataclass, field

from radishshift.admission import Admission
from radishshift.answers import Answer, Answers, AnswerSink
from radishshift.attempts import AttemptContext
from radishshift.background import BackgroundTasks
from radishshift.bills import Bill, Biller
from radishshift.cascade import Plan, PlanningContext, PlanStep, make_plan
from radishshift.catalogue import ANY_MODEL, Catalogue, ModelVersion
from radishshift.claims import Claims
from radishshift.clocks import Clock
from radishshift.configuration import Configuration
from radishshift.contracts import Contract, QualityTarget
from radishshift.endpoint_choice import EndpointChooser
from radishshift.endpoints import Endpoint
from radishshift.engines import EngineClient, ServiceReply
from radishshift.errors import (
    CallerDisconnectedError,
    DeadlineError,
    InternalError,
    NotAllowedError,
    NotFoundError,
    RadishshiftError,
)
from radishshift.evidence import Evidence
from radishshift.in_flight import InFlightRequests
from radishshift.kv_moves import KvMover
from radishshift.limits import Limiter
from radishshift.loads import EndpointLoads
from radishshift.observation import Observer
from radishshift.periodic_checks import PeriodicChecks
from radishshift.plan_runs import PlanContext, PlanRun
from radishshift.poison_retries import PoisonGuard
from radishshift.quality import QualityAccounts
from radishshift.ratings import Ratings
from radishshift.remote_answers import RemoteAnswers
from radishshift.requests import ModelRequest, ServiceCall
from radishshift.retries import RetryBudget
from radishshift.rollout import RolloutGuard
from radishshift.service_calls import CallContext, run_call
from radishshift.sessions import SessionKeys
from radishshift.verdicts import Verdict
from radishshift.version_choice import (
    eligible_versions,
    session_version,
    substitute_canaries,
)

__all__ = ["Router"]

# Cost of a service call in the fair queue, which counts in tokens.
SERVICE_CALL_COST_TOKENS = 100


@dataclass(slots=True)
class Router:
    """Routes model requests and service calls on one entry host.

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
    answer_retention_s : float
        Time for which an answer is kept after its request arrived, in seconds.
    remote_answers : RemoteAnswers, optional
        Access to answers that other hosts store.
    draining : bool
        Whether the host is shutting down and takes no new requests.
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
    answer_retention_s: float
    limiter: Limiter = field(default_factory=Limiter)
    evidence: Evidence = field(default_factory=Evidence)
    accounts: QualityAccounts = field(default_factory=QualityAccounts)
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    host_name: str = ""
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    ratings: Ratings = field(default_factory=Ratings)
    guard: RolloutGuard | None = None
    poison_guard: PoisonGuard | None = None
    observer: Observer | None = None
    kv_mover: KvMover | None = None
    remote_answers: RemoteAnswers | None = None
    draining: bool = False
    in_flight: InFlightRequests = field(default_factory=InFlightRequests)
    background: BackgroundTasks = field(default_factory=BackgroundTasks, init=False)
    periodic_checks: PeriodicChecks = field(init=False)
    chooser: EndpointChooser = field(init=False)
    _plan_context: PlanContext = field(init=False)
    _call_context: CallContext = field(init=False)

    @property
    def catalogue(self) -> Catalogue:
        """Return the current catalogue."""
        return self.configuration.catalogue

    def __post_init__(self) -> None:
        self.periodic_checks = PeriodicChecks(self.clock)
        if self.poison_guard is None:
            self.poison_guard = PoisonGuard(self.clock)
        self.chooser = EndpointChooser(
            self.data_centre,
            self.host_name,
            self.clock,
            self.configuration,
            self.loads,
            self.kv_mover,
        )
        attempts = AttemptContext(
            clock=self.clock,
            engines=self.engines,
            chooser=self.chooser,
            loads=self.loads,
            poison_guard=self.poison_guard,
            retry_budget=self.retry_budget,
            evidence=self.evidence,
            answers=self.answers,
            biller=self.biller,
            session_keys=self.session_keys,
            periodic_checks=self.periodic_checks,
            background=self.background,
            on_first_token=self._record_first_token,
            guard=self.guard,
        )
        self._plan_context = PlanContext(
            attempts, self.configuration, self.ratings, self.accounts
        )
        self._call_context = CallContext(
            clock=self.clock,
            configuration=self.configuration,
            engines=self.engines,
            chooser=self.chooser,
            loads=self.loads,
            poison_guard=self.poison_guard,
            retry_budget=self.retry_budget,
            claims=self.claims,
            biller=self.biller,
        )

    @property
    def in_flight_count(self) -> int:
        """Return the number of requests and background tasks in progress."""
        return len(self.in_flight) + len(self.background)

    async def answer_model(self, req: ModelRequest, sink: AnswerSink) -> None:
        """Answer a model request and write the answer to a sink.

        A request that repeats the idempotency key or request id of an earlier one
        gets the answer of that one, even while it is still being generated.

        Raises
        ------
        RadishshiftError
            The request failed before anything was written, or the answer is
            incomplete.
        """
        customer = req.contract.customer
        self.answers.drop_expired(self.clock.now())
        while (
            existing := self.answers.find_resent(
                customer, req.request_id, req.idempotency_key, req.fingerprint
            )
        ) is not None:
            if await self._follow(existing, req, sink):
                return
        answer = self._open_answer(req)
        with self._observe(req):
            try:
                with self.in_flight.tracked(
                    req.request_id, customer, lambda: answer.verdict
                ):
                    await self._run_admitted(req, answer, sink)
            except RadishshiftError as exc:
                exc.verdict = exc.verdict.worst(answer.verdict)
                self.answers.fail(answer, exc)
                raise
            except BaseException:
                self.answers.fail(answer, InternalError("the answer was interrupted"))
                raise
            answer.end()

    async def _follow(
        self, answer: Answer, req: ModelRequest, sink: AnswerSink
    ) -> bool:
        """Answer a resend with an earlier run, and tell whether that was possible.

        A run that ends before its first event for what its own caller did, or the
        deadline it gave, is no answer to a later request.
        """
        try:
            await self.replay(answer, sink, 0, req.deadline)
        except (CallerDisconnectedError, DeadlineError):
            if answer.started or not answer.ended or self.clock.now() >= req.deadline:
                raise
            return False
        return True

    def _open_answer(self, req: ModelRequest) -> Answer:
        expires_at = max(req.deadline, self.clock.now() + self.answer_retention_s)
        return self.answers.open(
            req.request_id,
            req.contract.customer,
            expires_at,
            req.idempotency_key,
            req.fingerprint,
        )

    async def replay(
        self, answer: Answer, sink: AnswerSink, position: int, deadline: float
    ) -> None:
        """Send a stored answer from a position on, following it while it grows.

        Raises
        ------
        RadishshiftError
        """
        with self.in_flight.tracked(
            answer.request_id, answer.customer, lambda: answer.verdict
        ):
            try:
                async with asyncio.timeout(deadline - self.clock.now()):
                    await answer.replay(sink, position)
            except TimeoutError as exc:
                raise DeadlineError(
                    "the answer is not complete at the deadline"
                ) from exc

    async def _run_admitted(
        self, req: ModelRequest, answer: Answer, sink: AnswerSink
    ) -> None:
        tokens = req.prompt_tokens_estimate + req.completion_tokens_bound
        pool = self._pool_for(req.model)
        bill = Bill(req.request_id, req.contract.customer)
        grant = self.limiter.acquire(req.contract, tokens, self.clock.now())
        try:
            async with self.admission.admitted(
                req.task_class, req.contract, tokens, req.deadline, pool
            ) as slot:
                req.contract = self._current_contract(req.contract, req.deadline)
                self.poison_guard.check(req.fingerprint, self.clock.now())
                self.biller.check_capacity()
                self.retry_budget.request_received()
                try:
                    await self._run_plan(req, bill, answer, sink)
                finally:
                    slot.cost = _billed_tokens(bill)
        finally:
            self.limiter.settle(grant, _billed_tokens(bill))

    def _pool_for(self, model: str) -> str:
        version = self.catalogue.versions.get(model)
        if version is not None:
            return version.model
        known = {version.model for version in self.catalogue.versions.values()}
        if model not in known | {ANY_MODEL}:
            raise NotFoundError(f"no model {model}")
        return model

    def _current_contract(self, contract: Contract, deadline: float) -> Contract:
        """Return the customer's contract, which may have changed during the wait."""
        if self.clock.now() >= deadline:
            raise DeadlineError("the deadline has passed", verdict=Verdict.NOT_RUN)
        current = self.catalogue.contracts.get(contract.customer)
        if current is None:
            raise NotAllowedError("the customer's contract has ended")
        return current

    @contextmanager
    def _observe(self, req: ModelRequest | ServiceCall) -> Iterator[None]:
        error = None
        try:
            yield
        except RadishshiftError as exc:
            error = exc
            raise
        finally:
            if self.observer is not None:
                self.observer.record_request(
                    req.contract.customer,
                    req.task_class,
                    req.arrived,
                    req.observation,
                    error,
                )

    async def _run_plan(
        self, req: ModelRequest, bill: Bill, answer: Answer, sink: AnswerSink
    ) -> None:
        await self.session_keys.prepare(req.session_token)
        planning = self._planning_context(req)
        plan = self._make_plan(req, planning)
        run = PlanRun(self._plan_context, req, planning, plan, bill, answer, sink)
        if not req.session_token:
            stopped = self._stopped_versions
            run.steps = substitute_canaries(self.catalogue, req, plan.steps, stopped)
        try:
            await run.execute()
        except (RadishshiftError, asyncio.CancelledError):
            if bill.items:
                await self.biller.make_durable(bill)
            raise

    @property
    def _stopped_versions(self) -> Set[str]:
        return frozenset() if self.guard is None else self.guard.stopped.keys()

    def _planning_context(self, req: ModelRequest) -> PlanningContext:
        now = self.clock.now()
        return PlanningContext(
            customer=req.contract.customer,
            task_class=req.task_class,
            quality=self._quality_target(req),
            candidates=self._candidate_versions(req),
            prompt_tokens=req.prompt_tokens_estimate,
            completion_tokens=req.completion_tokens_bound,
            deadline=req.deadline,
            now=now,
            can_judge=self.ratings.is_available(now),
            parameters=self.catalogue.policies.parameters,
        )

    def _make_plan(self, req: ModelRequest, planning: PlanningContext) -> Plan:
        if req.session_token:
            return Plan((PlanStep(planning.candidates[0]),))
        planner_name = self.catalogue.policies.planner
        return make_plan(planner_name, planning, self.evidence, self.accounts)

    def _candidate_versions(self, req: ModelRequest) -> tuple[ModelVersion, ...]:
        if req.session_token:
            now = self.clock.now()
            customer = req.contract.customer
            session = self.session_keys.read(req.session_token, customer, now)
            return (session_version(self.catalogue, req, session),)
        return eligible_versions(self.catalogue, req, self._stopped_versions)

    def _quality_target(self, req: ModelRequest) -> QualityTarget:
        default = QualityTarget(0.0, 0.0)
        return req.contract.quality.get(req.task_class.name, default)

    def _record_first_token(
        self, endpoint: Endpoint, req: ModelRequest, wait_s: float
    ) -> None:
        """Record the time to first token of an attempt, in seconds."""
        self.loads.record_first_token(endpoint, wait_s, self.clock.now())
        pool = self._pool_for(req.model)
        self.admission.record_first_token(pool, req.task_class, wait_s)

    async def call_service(self, call: ServiceCall) -> ServiceReply:
        """Answer a call of a service that is not a model.

        Raises
        ------
        RadishshiftError
        """
        running = self.in_flight.tracked(
            call.request_id, call.contract.customer, lambda: Verdict.MAY_HAVE_RUN
        )
        with self._observe(call), running:
            return await self._call_service(call)

    async def _call_service(self, call: ServiceCall) -> ServiceReply:
        grant = self.limiter.acquire(call.contract, 0, self.clock.now())
        try:
            async with self.admission.admitted(
                call.task_class,
                call.contract,
                SERVICE_CALL_COST_TOKENS,
                call.deadline,
                call.service,
            ):
                call.contract = self._current_contract(call.contract, call.deadline)
                if call.service not in call.contract.allowed:
                    raise NotAllowedError(f"the contract does not allow {call.service}")
                self.poison_guard.check(call.fingerprint, self.clock.now())
                self.retry_budget.request_received()
                started_at = self.clock.now()
                reply = await run_call(self._call_context, call)
                call.observation.version = call.service
                took_s = self.clock.now() - started_at
                self.admission.record_complete_answer(
                    call.service, call.task_class, took_s
                )
                return reply
        finally:
            self.limiter.settle(grant, 0)


def _billed_tokens(bill: Bill) -> int:
    return sum(item.prompt_tokens + item.completion_tokens for item in bill.items)
