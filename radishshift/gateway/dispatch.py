"""Sending attempts to endpoints, and what is learnt from how they go."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.crashes import CrashSuspects
from radishshift.decisions.moving_averages import MovingAverages
from radishshift.decisions.placing import PlacementRequest, Placer
from radishshift.decisions.retry_budget import HostRetryBudget
from radishshift.decisions.versions import VersionGuard
from radishshift.errors import (
    DeadlineError,
    EndpointError,
    EndpointRefusedError,
    EndpointReplacedError,
    EndpointUnreachableError,
    NoEndpointError,
    StreamSilentError,
)
from radishshift.gateway.attempts import PROBE_AFTER_S, Attempt
from radishshift.gateway.connection_prober import ConnectionProber
from radishshift.gateway.deployment import Member, RouteKind
from radishshift.gateway.host_settings import Bounds
from radishshift.gateway.host_view import HostView
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import EndpointAnswer, EndpointClient
from radishshift.verdicts import Verdict

__all__ = ["Dispatcher"]

LOOK_S = 0.1  # how often a wait looks whether its endpoint is silent
ALONE_PATIENCE = 4.0  # times as long where no other endpoint is thought to serve
DEPARTED_USED_SHARE = 0.5  # of the time in which a leaving endpoint may get work
PROMPT_UNIT_TOKENS = 1500  # that take as long to read as any request's first step
PRESENT_S = 0.05  # of the deadline, kept for the way back to the caller

logger = logbook.Logger("dispatch")


class Dispatcher:
    """Chooses endpoints and runs attempts there.

    Parameters
    ----------
    clock : Clock
    data_centre : str
    beliefs : Beliefs
    placer : Placer
    client : EndpointClient
    suspects : CrashSuspects
    versions : VersionGuard
    bounds : Bounds
    """

    def __init__(
        self,
        clock: Clock,
        data_centre: str,
        host_view: HostView,
        placer: Placer,
        client: EndpointClient,
        suspects: CrashSuspects,
        versions: VersionGuard,
        bounds: Bounds,
    ) -> None:
        self.clock = clock
        self.bounds = bounds
        self.host_view = host_view
        self.suspects = suspects
        self.versions = versions
        self.times = MovingAverages()
        self._data_centre = data_centre
        self._placer = placer
        self._client = client
        self._budgets: dict[str, HostRetryBudget] = {}
        self._knocks = ConnectionProber(clock, client)

    def budget(self, service: str) -> HostRetryBudget:
        """Return what this host may repeat at a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = HostRetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            )
            self._budgets[service] = budget
        return budget

    def set_host_count(self, hosts: int) -> None:
        """Divide what comes on top of the ratio among so many hosts."""
        for budget in self._budgets.values():
            budget.hosts = hosts

    def choose(self, job: Job, model: str = "") -> Member:
        """Return the endpoint for the next attempt, with a model if one is chosen.

        Raises
        ------
        NoEndpointError
        """
        now = self.clock.now()
        question = self._question(job, model)
        members = self._allowed(job)
        for view in self._placer.to_probe(members, now):
            self._knocks.probe(view)
        chosen = self._placer.choose(members, question, now)
        if chosen is None and job.failed_endpoints and len(members) == 1:
            chosen = self._placer.choose(members, replace(question, tried=()), now)
        if chosen is None and job.version:
            job.version = ""
            return self.choose(job, model)
        if chosen is None:
            since = now - DEPARTED_USED_SHARE * self.bounds.drain_s
            left = self.host_view.departed_since(job.service, since)
            chosen = self._placer.choose(left, question, now)
        if chosen is None:
            raise NoEndpointError(
                f"no endpoint of {job.service} is left of {len(members)}"
            )
        return chosen

    def _question(self, job: Job, model: str) -> PlacementRequest:
        parts = job.req.parts
        shared = parts[:-1] if len(parts) > 1 else parts
        return PlacementRequest(
            service=job.service,
            data_centre=self._data_centre,
            affinity=f"{model} {shared[-1].digest}" if shared else "",
            shared_tokens=sum(part.tokens for part in shared),
            prefill_ktokens=self._reading(job, model),
            tried=job.failed_endpoints,
            version=job.version,
        )

    def _reading(self, job: Job, model: str) -> float:
        """Return thousands of tokens to be read, in time of the largest model."""
        costs = self.host_view.model_costs(job.service)
        most = max(costs.values(), default=0.0)
        share = costs[model] / most if most and model in costs else 1.0
        return share * job.req.prompt_tokens / 1000

    def _allowed(self, job: Job) -> list[Member]:
        """Return the endpoints that a job may be sent to, in so far as is left."""
        members = list(self.host_view.members_of(job.service))
        if job.endpoints_left > 0:
            return members
        return [member for member in members if member.name in job.used_endpoints]

    @contextmanager
    def attempt(self, job: Job, member: Member, model: str) -> Iterator[Attempt]:
        """Count an attempt as long as it runs, and learn from how it fails."""
        now = self.clock.now()
        view = self._placer.view(member)
        attempt = Attempt(job, member, view, model, now, last_byte_at=now)
        attempt.mean_first_event_s = self.mean_first_event_s(job, model)
        attempt.prefill_ktokens = self._reading(job, model)
        view.attempt_started(attempt.prefill_ktokens)
        job.attempts += 1
        attempt.first_at_endpoint = member.name not in job.used_endpoints
        if attempt.first_at_endpoint:
            job.used_endpoints.append(member.name)
        try:
            yield attempt
        except EndpointError as exc:
            self._failed(attempt, exc)
            raise
        finally:
            self._has_read(attempt)
            view.attempt_ended()
            if attempt.answer is not None:
                attempt.answer.abort()

    async def open(self, attempt: Attempt, last_event: str = "") -> EndpointAnswer:
        """Send the attempt and wait for the head of its answer.

        Raises
        ------
        EndpointError
        """
        job = attempt.job
        order = job.order(attempt.member, attempt.model, last_event)
        sending = asyncio.ensure_future(self._client.send(order))
        try:
            gives_up = job.route.idempotent and (
                job.endpoints_left > 0 or job.route.kind is RouteKind.STREAM
            )
            await self._watched(attempt, sending, gives_up)
        finally:
            if not sending.done():
                sending.cancel()
        attempt.answer = sending.result()
        self._has_read(attempt)
        attempt.record_bytes(self.clock.now())
        return attempt.answer

    def _has_read(self, attempt: Attempt) -> None:
        attempt.view.prefill_done(attempt.prefill_ktokens)
        attempt.prefill_ktokens = 0.0

    async def next_bytes(self, attempt: Attempt) -> bytes:
        """Return the next bytes of a stream, empty at its end.

        Raises
        ------
        StreamBrokenError
        """
        while True:
            try:
                async with asyncio.timeout(LOOK_S):
                    data = await attempt.answer.chunk()
            except TimeoutError:
                self._check_silence(attempt)
                continue
            attempt.record_bytes(self.clock.now())
            return data

    async def _watched(
        self, attempt: Attempt, fut: asyncio.Future, gives_up: bool
    ) -> None:
        """Wait for a head for as long as its endpoint is not silent."""
        while True:
            done, _ = await asyncio.wait((fut,), timeout=LOOK_S)
            if done:
                return
            if gives_up:
                self._check_silence(attempt)

    def _check_silence(self, attempt: Attempt) -> None:
        """Raise if nothing came for so long that nothing more will come.

        Without room for a repeat the attempt is all that the request has.

        Raises
        ------
        StreamSilentError
        """
        now = self.clock.now()
        overdue = self._overdue(attempt, now)
        if overdue <= 1 or self.budget(attempt.job.service).available(now) < 1:
            return
        if overdue > (1.0 if self._has_other(attempt) else ALONE_PATIENCE):
            raise StreamSilentError(
                f"nothing came for {now - attempt.last_byte_at:.1f} s"
            )

    def _overdue(self, attempt: Attempt, now: float) -> float:
        """Return how long nothing came, against the time that means silence.

        An engine may read long prompts between two tokens, so it is asked for a
        connection: a busy one answers.
        """
        view = attempt.view
        own = (now - attempt.last_byte_at) / attempt.stuck_s
        quiet_s = now - max(view.last_byte_at, attempt.last_byte_at)
        if attempt.job.route.kind is RouteKind.STREAM:
            asked_s = now - max(view.last_connected_at, view.last_unreachable_at)
            if min(quiet_s, asked_s) > PROBE_AFTER_S:
                self._knocks.probe(view)
            if not view.unreachable or view.last_unreachable_at <= attempt.last_byte_at:
                return own
        return max(own, quiet_s / attempt.silent_s)

    def _has_other(self, attempt: Attempt) -> bool:
        job = attempt.job
        question = self._question(job, attempt.model)
        question = replace(question, tried=[*job.failed_endpoints, attempt.member.name])
        return self._placer.has_alternative(
            self._allowed(job), question, self.clock.now()
        )

    def record_completion(self, attempt: Attempt) -> None:
        """Note an attempt that gave its whole answer."""
        now = self.clock.now()
        attempt.view.ejection.record_outcome(True, now)
        self.record_version_answer(attempt, True)
        self.suspects.record_completion(attempt.job.fingerprint)

    def record_version_answer(self, attempt: Attempt, ok: bool) -> None:
        """Note how an answer speaks for the version that gave it."""
        job = attempt.job
        self.versions.record_answer(
            job.service, attempt.member.version, job.route.name, ok
        )

    def mean_first_event_s(self, job: Job, model: str) -> float:
        """Return the usual time to the first event of such a prompt, 0 if unknown."""
        per_unit_s = self.times.mean_s((job.route.name, model, "first"))
        return per_unit_s * _prompt_units(job)

    def record_first_event(self, attempt: Attempt) -> None:
        """Compare the time to a first event with what is usual for the prompt."""
        took_s = self.clock.now() - attempt.began
        self.record_duration(attempt, "first", took_s / _prompt_units(attempt.job))

    def record_duration(self, attempt: Attempt, what: str, took_s: float) -> None:
        """Compare a time with what is usual, for the endpoint and its version."""
        job = attempt.job
        key = (job.route.name, attempt.model, what)
        version = attempt.member.version
        learn = not self.versions.is_new(job.service, version)
        ratio = self.times.ratio(key, took_s, learn)
        attempt.view.record_latency_ratio(ratio)
        self.versions.record_time(job.service, version, job.route.name, ratio)

    def _failed(self, attempt: Attempt, exc: EndpointError) -> None:
        now = self.clock.now()
        job = attempt.job
        name = attempt.member.name
        job.failed_endpoints.append(name)
        if exc.verdict is Verdict.NOT_RUN:
            # An earlier attempt there may have run, whatever this one did.
            if attempt.first_at_endpoint:
                job.used_endpoints.remove(name)
        else:
            job.may_have_run = True
        refused = isinstance(exc, EndpointRefusedError)
        if isinstance(exc, EndpointUnreachableError):
            attempt.view.record_unreachable(now)
        if not refused or isinstance(exc, EndpointReplacedError):
            attempt.view.ejection.record_outcome(False, now)
        if isinstance(exc, EndpointReplacedError):
            self._client.forget(attempt.member)
        if not refused and not isinstance(
            exc, EndpointUnreachableError | StreamSilentError
        ):
            if attempt.answer is None:
                self.suspects.record_crash(job.fingerprint, now)
            self.record_version_answer(attempt, False)
        logger.info(
            "attempt failed",
            extra={
                "request_id": job.req.request_id,
                "endpoint": name,
                "version": attempt.member.version,
                "model": attempt.model,
                "error": exc.code,
                "verdict": exc.verdict.value,
                "reason": exc.message[:200],
                "took_s": round(now - attempt.began, 3),
                "endpoint_quiet_s": round(now - attempt.view.last_byte_at, 3),
            },
        )

    def check_deadline(self, job: Job) -> None:
        """Raise if no time is left for another attempt.

        Raises
        ------
        DeadlineError
        """
        if job.deadline - self.clock.now() < PRESENT_S:
            verdict = Verdict.MAY_HAVE_RUN if job.may_have_run else Verdict.NOT_RUN
            raise DeadlineError("the deadline has passed", verdict=verdict)


def _prompt_units(job: Job) -> float:
    """Return what a first event takes, in times of an empty prompt."""
    return 1 + job.req.prompt_tokens / PROMPT_UNIT_TOKENS
