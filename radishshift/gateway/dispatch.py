"""Dispatch of attempts to endpoints, and the statistics kept of their outcomes."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.crashes import CrashSuspects
from radishshift.decisions.fleet_size import FleetSize
from radishshift.decisions.moving_averages import MovingAverages
from radishshift.decisions.placing import Placer
from radishshift.decisions.retry_budget import HostRetryBudget, SlackShare
from radishshift.decisions.stream_times import StreamTimes
from radishshift.decisions.versions import VersionGuard
from radishshift.errors import (
    DeadlineError,
    EndlessAnswerError,
    EndpointError,
    EndpointRefusedError,
    EndpointReplacedError,
    EndpointUnreachableError,
    ForeignAnswerError,
    PoisonSuspectError,
    StreamStalledError,
)
from radishshift.gateway.attempts import Attempt
from radishshift.gateway.background import BackgroundTasks
from radishshift.gateway.connection_prober import ConnectionProber
from radishshift.gateway.deployment import Member, RouteKind
from radishshift.gateway.host_settings import Bounds
from radishshift.gateway.host_view import HostView
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import (
    EndpointAnswer,
    EndpointClient,
    ProbeOutcome,
)
from radishshift.gateway.placement import Placement
from radishshift.gateway.relay_client import RelayClient
from radishshift.gateway.replacements import Replacements
from radishshift.gateway.service_monitor import ServiceMonitor
from radishshift.gateway.shared_placement import FAILED_OUTCOME, UNREACHABLE_OUTCOME
from radishshift.gateway.silence import SilenceWatch
from radishshift.gateway.stalled_attempts import StalledAttempts
from radishshift.gateway.targets import Helper, Target
from radishshift.verdicts import Verdict

__all__ = ["Dispatcher"]

SILENCE_CHECK_INTERVAL_S = 0.1
# Tokens whose prefill takes as long as the fixed part of the time to a first event.
TOKENS_PER_PROMPT_UNIT = 1500
MAX_PARTS_LOGGED = 8
# An endpoint crashes sooner than this after it has begun to answer a request whose part
# crashes it.
SOUND_AFTER_S = 1.0
# After an answer is lost; by then the listening socket of a crashed endpoint is gone.
LOOK_AFTER_S = 0.15
# Longer than callers of such requests wait, so that they give up instead of retrying.
POISON_RETRY_AFTER_S = 30.0
DEADLINE_MARGIN_S = 0.05  # reserved for returning the answer to the caller

# An attempt at an endpoint that crashes doesn't fail like this.
_NO_CRASH = (
    EndpointRefusedError,
    EndpointUnreachableError,
    StreamStalledError,
    EndlessAnswerError,
    ForeignAnswerError,
)

logger = logbook.Logger("dispatch")


class Dispatcher:
    """Runs attempts on endpoints.

    Parameters
    ----------
    clock : Clock
    data_centre : str
    host_view : HostView
    placer : Placer
    client : EndpointClient
    suspects : CrashSuspects
    versions : VersionGuard
    bounds : Bounds

    Attributes
    ----------
    placement : Placement
        Chooses the endpoints.
    services : ServiceMonitor
        Knows which services this host reaches.
    fleet_size : FleetSize
    slack_share : SlackShare or None
        This host's share of the slack of retry budgets; None if all of it is its own.
    relays : RelayClient or None
        Has attempts relayed by peers; None if there are none.
    on_crash : callable
        Called after a crash of an endpoint was recorded, or taken back.
    replacements : Replacements
        Holds what is to take the place of running attempts.
    stalled : StalledAttempts
    refused_retries : Counter
        Failed attempts after which no further one followed, by reason.
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
        self._stream_times = StreamTimes(self.times)
        self._placer = placer
        placer.room_tokens = host_view.memory_tokens
        self._client = client
        self.on_crash: Callable[[], None] = lambda: None
        self.refused_retries: Counter[str] = Counter()
        self.fleet_size = FleetSize()
        self.slack_share: SlackShare | None = SlackShare(
            self.fleet_size, clock.now() + bounds.retry_window_s
        )
        self._budgets: dict[str, HostRetryBudget] = {}
        self._looks = BackgroundTasks()
        self._prober = ConnectionProber(clock, client)
        self.placement = Placement(
            clock, data_centre, host_view, placer, self._prober, bounds.drain_s
        )
        self.services = ServiceMonitor(
            clock, data_centre, host_view, placer, self._prober
        )
        self.relays: RelayClient | None = None
        self._silence = SilenceWatch(
            clock, self._prober, self.budget, self._has_alternative
        )
        self.replacements = Replacements(
            clock,
            self.placement,
            self.choose_target,
            self.check_before_attempt,
            self.budget,
            lambda member: placer.view(member).unreachable,
        )
        self.stalled = StalledAttempts(self._silence, self.replacements)

    def budget(self, service: str) -> HostRetryBudget:
        """Return this host's retry budget for a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = HostRetryBudget(
                bounds.retry_ratio,
                bounds.retry_window_s,
                bounds.retry_slack,
                self.slack_share,
            )
            self._budgets[service] = budget
        return budget

    def last_byte_at(self, member: Member) -> float:
        """Return when this host last received a byte of an endpoint, 0 if never."""
        return self._placer.view(member).last_byte_at

    async def choose_target(self, job: Job, model: str = "") -> Target:
        """Return the endpoint for the next attempt, or the peer to relay it.

        Raises
        ------
        NoEndpointError
        """
        if job.held_target is not None:
            target, job.held_target = job.held_target, None
            return target
        helper = None if self.relays is None else self.relays.choose(job)
        return helper or await self.placement.place(job, model)

    @contextmanager
    def attempt(self, job: Job, target: Target, model: str) -> Iterator[Attempt]:
        """Track an attempt while it runs, and record how it fails."""
        now = self.clock.now()
        if isinstance(target, Helper):
            view = self.relays.view(target)
            member, helper = target.member, target.host
        else:
            view = self._placer.view(target)
            member, helper = target, ""
        attempt = Attempt(
            job, member, view, model, now, last_byte_at=now, helper=helper
        )
        attempt_id = job.attempt_id
        refused = False
        attempt.mean_first_event_s = self.mean_first_event_s(job, model)
        attempt.prefill_ktokens = self.placement.prefill_ktokens(job, model)
        view.attempt_started(attempt.prefill_ktokens)
        self._silence.attempt_started()
        job.attempts += 1
        attempt.first_at_endpoint = member.name not in job.used_endpoints
        if attempt.first_at_endpoint:
            job.used_endpoints.append(member.name)
        try:
            yield attempt
        except EndpointError as exc:
            refused = isinstance(exc, EndpointRefusedError)
            self._record_failure(attempt, exc)
            raise
        finally:
            if self.placement.permits is not None and not attempt.helper:
                self.placement.permits.attempt_ended(member, attempt_id, refused)
            self._end_prefill(attempt)
            view.attempt_ended()
            if attempt.answer is not None:
                attempt.answer.abort()

    async def open(self, attempt: Attempt, last_event_id: str = "") -> EndpointAnswer:
        """Send the attempt and wait for the status and headers of its answer.

        A stream's headers come with its first event, after prefill.

        Raises
        ------
        EndpointError
        """
        job = attempt.job
        sending = asyncio.ensure_future(self._send(attempt, last_event_id))
        try:
            # A stream may be retried at an endpoint that it has used.
            may_give_up = attempt.may_retry and (
                job.endpoints_left > 0 or job.route.kind is RouteKind.STREAM
            )
            await self._wait_for_head(attempt, sending, may_give_up)
        finally:
            if not sending.done():
                sending.cancel()
        attempt.answer = sending.result()
        if not attempt.helper:
            self.services.record_answer(attempt.member)
        self._end_prefill(attempt)
        attempt.answered_at = self.clock.now()
        attempt.record_bytes(attempt.answered_at)
        return attempt.answer

    async def _send(self, attempt: Attempt, last_event_id: str) -> EndpointAnswer:
        job = attempt.job
        if not attempt.helper:
            order = job.order(attempt.member, attempt.model, last_event_id)
            return await self._client.send(order)
        budget = self.budget(job.service)
        may_retry = attempt.may_retry and budget.available(self.clock.now()) >= 1
        reply = await self.relays.send(attempt, last_event_id, may_retry)
        if reply.endpoint is not None:
            _set_endpoint(attempt, reply.endpoint)
        elif not isinstance(reply.error, EndpointError) and attempt.first_at_endpoint:
            # The peer has sent nothing, and no further attempt follows.
            job.used_endpoints.remove(attempt.member.name)
        if reply.error is not None:
            raise reply.error
        return reply.answer

    def _end_prefill(self, attempt: Attempt) -> None:
        attempt.view.prefill_done(attempt.prefill_ktokens)
        attempt.prefill_ktokens = 0.0

    async def next_bytes(self, attempt: Attempt) -> bytes:
        """Return the next bytes of a stream, or empty bytes at its end.

        Raises
        ------
        StreamBrokenError
        """
        while True:
            try:
                async with asyncio.timeout(SILENCE_CHECK_INTERVAL_S):
                    data = await attempt.answer.chunk()
            except TimeoutError:
                data = await self.stalled.check_stream(attempt)
                if not data:
                    continue
            self._silence.stream_went_on(attempt)
            now = self.clock.now()
            attempt.record_bytes(now)
            attempt.body_began = attempt.body_began or bool(data)
            if not attempt.sound and now - attempt.answered_at > SOUND_AFTER_S:
                attempt.sound = True
                self.suspects.record_sound(attempt.job.traits.shared(), now)
            return data

    async def _wait_for_head(
        self, attempt: Attempt, sending: asyncio.Future, may_give_up: bool
    ) -> None:
        """Wait for the head of an answer; give up on a silent endpoint if allowed."""
        while True:
            done, _ = await asyncio.wait((sending,), timeout=SILENCE_CHECK_INTERVAL_S)
            if done:
                return
            self._silence.probe_if_silent(attempt)
            if may_give_up:
                await self.stalled.check_head(attempt, sending)

    def _has_alternative(self, attempt: Attempt) -> bool:
        """Return whether an attempt could be replaced by one that goes another way."""
        job = attempt.job
        if self.relays is not None and self.services.tracker.lost(job.service):
            with job.avoiding(attempt.member.name, attempt.helper):
                return self.relays.has_other(job)
        return self.placement.has_alternative(job, attempt.model, attempt.member)

    def record_completion(self, attempt: Attempt, resumed: bool = False) -> None:
        """Record an attempt that delivered its complete answer.

        Parameters
        ----------
        attempt : Attempt
        resumed : bool
            Whether it was the rest of an answer that another attempt had begun, which
            does not show that the request crashes no endpoints.
        """
        now = self.clock.now()
        attempt.view.circuit_breaker.record_outcome(True, now)
        self.record_version_answer(attempt, True)
        # The crash of an endpoint may look like the end of a stream without a length.
        if attempt.body_began or attempt.job.route.kind is not RouteKind.STREAM:
            traits = attempt.job.traits
            self.suspects.record_sound(traits.shared() if resumed else traits, now)

    def record_version_answer(self, attempt: Attempt, ok: bool) -> None:
        """Count an answer as good or bad for the version that gave it."""
        job = attempt.job
        self.versions.record_answer(
            job.service, attempt.member.version, job.route.name, ok
        )

    def mean_first_event_s(self, job: Job, model: str) -> float:
        """Return the mean time to a first event for the prompt, 0 if unknown."""
        per_unit_s = self.times.mean_s((job.route.name, model, "first"))
        return per_unit_s * _prompt_units(job)

    def longest_stream_s(self, job: Job) -> float | None:
        """Return how long a stream may take, None if that is not known."""
        models = job.route.models or ("",)
        return self._stream_times.longest_s(
            job.route.name, models, _prompt_units(job), job.req.answer_tokens
        )

    def record_stream(self, attempt: Attempt) -> None:
        """Record the time of a stream that one attempt has answered whole."""
        job = attempt.job
        took_s = self.clock.now() - attempt.answered_at
        self._stream_times.record(
            job.route.name, attempt.model, job.req.answer_tokens, took_s
        )

    def record_first_event(self, attempt: Attempt) -> None:
        """Record the time to a first event, per prompt unit."""
        took_s = self.clock.now() - attempt.began_at
        self.record_duration(attempt, "first", took_s / _prompt_units(attempt.job))

    def record_duration(self, attempt: Attempt, kind: str, took_s: float) -> None:
        """Record a time relative to the mean, for the endpoint and its version.

        Times of a version under roll-out don't enter the mean.
        """
        job = attempt.job
        key = (job.route.name, attempt.model, kind)
        version = attempt.member.version
        if not attempt.helper and self.host_view.is_cold(attempt.member):
            return  # says little of the endpoint and its version
        learn = not self.versions.is_new(job.service, version)
        ratio = self.times.observe(key, took_s, learn)
        attempt.view.record_latency_ratio(ratio)
        if not attempt.helper:
            self._share_outcome(attempt, ratio)
        self.versions.record_time(
            job.service, version, job.route.name, ratio, self.clock.now()
        )

    def _record_stall(self, attempt: Attempt) -> None:
        """Record the time so far of an attempt given up for silence.

        It is less than the attempt would have taken, so it doesn't enter the mean. An
        unreachable endpoint says nothing about the speed of its version, nor does a
        cold one.
        """
        if attempt.view.unreachable or self.host_view.is_cold(attempt.member):
            return
        job = attempt.job
        now = self.clock.now()
        if job.route.kind is not RouteKind.STREAM:
            kind, took_s = "whole", now - attempt.began_at
        elif attempt.answer is None:
            kind, took_s = "first", (now - attempt.began_at) / _prompt_units(job)
        else:
            kind, took_s = "event", now - attempt.last_byte_at
        key = (job.route.name, attempt.model, kind)
        ratio = self.times.observe(key, took_s, learn=False)
        self.versions.record_time(
            job.service, attempt.member.version, job.route.name, ratio, now
        )

    def _record_failure(self, attempt: Attempt, exc: EndpointError) -> None:
        now = self.clock.now()
        job = attempt.job
        name = attempt.member.name
        job.failed_endpoints.append(name)
        if exc.verdict is Verdict.NOT_RUN:
            # An earlier attempt at this endpoint may have run, unlike this one.
            if attempt.first_at_endpoint:
                job.used_endpoints.remove(name)
        else:
            job.may_have_run = True
        may_have_crashed = self._may_have_crashed(attempt, exc, now)
        if may_have_crashed:
            job.lost_at.append(now)
        if attempt.helper:
            self._record_relay_failure(attempt, exc)
        else:
            self._record_endpoint_failure(attempt, exc, now)
            if may_have_crashed:
                self._record_crash(attempt, now)
        self._log_failure(attempt, exc, now)

    def _record_relay_failure(self, attempt: Attempt, exc: EndpointError) -> None:
        """Record what this host alone can tell; the peer records the rest."""
        if type(exc) is EndpointError and attempt.answer is not None:
            self.record_version_answer(attempt, False)
        elif (
            isinstance(exc, StreamStalledError)
            and attempt.view.last_byte_at <= attempt.last_byte_at
        ):
            self.relays.record_failure(attempt.helper)

    def _record_endpoint_failure(
        self, attempt: Attempt, exc: EndpointError, now: float
    ) -> None:
        job = attempt.job
        refused = isinstance(exc, EndpointRefusedError)
        if isinstance(exc, EndpointUnreachableError):
            job.unreachable_attempts += 1
            attempt.view.record_unreachable(now)
            self.services.record_failure(attempt.member)
        if isinstance(exc, StreamStalledError):
            self._record_stall(attempt)
        if not refused or isinstance(exc, EndpointReplacedError):
            attempt.view.circuit_breaker.record_outcome(False, now)
            unreachable = isinstance(exc, EndpointUnreachableError)
            outcome = UNREACHABLE_OUTCOME if unreachable else FAILED_OUTCOME
            self._share_outcome(attempt, outcome)
        if isinstance(exc, EndpointReplacedError):
            self._client.forget(attempt.member)
        if not refused and not isinstance(
            exc, EndpointUnreachableError | StreamStalledError
        ):
            self.record_version_answer(attempt, False)

    def _log_failure(self, attempt: Attempt, exc: EndpointError, now: float) -> None:
        job = attempt.job
        crashes, crashes_counted = self.suspects.crash_counts(job.traits)
        logger.info(
            "attempt failed",
            extra={
                "request_id": job.req.request_id,
                "endpoint": attempt.member.name,
                "helper": attempt.helper,
                "version": attempt.member.version,
                "model": attempt.model,
                "error": exc.code,
                "verdict": exc.verdict.value,
                "reason": exc.message[:200],
                "took_s": round(now - attempt.began_at, 3),
                "endpoint_quiet_s": _since(attempt.view.last_byte_at, now),
                "silent_s": round(now - attempt.last_byte_at, 3),
                "answered": attempt.answer is not None,
                "body_began": attempt.body_began,
                "trait": job.traits.request,
                "crashes": crashes,
                "crashes_counted": crashes_counted,
                "parts": [
                    part.digest[:16] for part in job.req.parts[:MAX_PARTS_LOGGED]
                ],
            }
            | _connection_state(exc)
            | self.budget(job.service).state(now),
        )

    def _may_have_crashed(
        self, attempt: Attempt, exc: EndpointError, now: float
    ) -> bool:
        """Return whether an attempt may have failed by what its request holds."""
        if isinstance(exc, _NO_CRASH):
            return False
        if attempt.answer is None:
            return True
        if attempt.job.route.kind is not RouteKind.STREAM:
            return bool(attempt.job.traits.parts)
        return now - attempt.answered_at <= SOUND_AFTER_S

    def _record_crash(self, attempt: Attempt, now: float) -> None:
        name, born_ms = attempt.member.incarnation
        traits = attempt.job.traits
        answering = attempt.answer is not None
        streaming = attempt.job.route.kind is RouteKind.STREAM
        if attempt.body_began or (answering and not streaming):
            traits = traits.once_begun()
        endpoint = f"{name}@{born_ms}"
        self.suspects.record_crash(endpoint, traits, answering, now)
        self.on_crash()
        self._looks.spawn(
            "look for life", self._look_for_life(attempt.member, endpoint)
        )

    async def _look_for_life(self, member: Member, endpoint: str) -> None:
        """Take a crash back if the endpoint still accepts connections."""
        await asyncio.sleep(LOOK_AFTER_S)
        began_at = self.clock.now()
        outcome = await self._client.probe(member)
        if outcome is not ProbeOutcome.OPENED:
            return
        if self.suspects.record_alive(endpoint, began_at):
            logger.info(
                "endpoint lost an answer and lives", extra={"endpoint": member.name}
            )
            self.on_crash()

    def _share_outcome(self, attempt: Attempt, latency_ratio: float) -> None:
        if self.placement.shared is not None:
            self.placement.shared.record_outcome(attempt.member.name, latency_ratio)

    def check_before_attempt(self, job: Job) -> None:
        """Raise if too little time is left, or if the job crashes endpoints.

        Raises
        ------
        DeadlineError, PoisonSuspectError
        """
        now = self.clock.now()
        verdict = Verdict.MAY_HAVE_RUN if job.may_have_run else Verdict.NOT_RUN
        if job.deadline - now < DEADLINE_MARGIN_S:
            raise DeadlineError("the deadline has passed", verdict=verdict)
        trait = self.suspects.blocking(job.traits, now)
        if trait:
            raise PoisonSuspectError(
                f"requests with trait {trait} crash endpoints",
                verdict=verdict,
                retry_after_s=POISON_RETRY_AFTER_S,
            )


def _set_endpoint(attempt: Attempt, member: Member) -> None:
    """Record at which endpoint a peer makes an attempt."""
    job = attempt.job
    if attempt.first_at_endpoint:
        job.used_endpoints.remove(attempt.member.name)
    attempt.member = member
    attempt.first_at_endpoint = member.name not in job.used_endpoints
    if attempt.first_at_endpoint:
        job.used_endpoints.append(member.name)


def _connection_state(exc: EndpointError) -> dict[str, int]:
    """Return what the log says of the connection that carried a failed attempt."""
    return {} if exc.connection is None else asdict(exc.connection)


def _since(at: float, now: float) -> float | None:
    """Return the seconds since an instant, None if it is 0 for never."""
    return round(now - at, 3) if at else None


def _prompt_units(job: Job) -> float:
    """Return the time to a first event as a multiple of that for an empty prompt."""
    return 1 + job.req.prompt_tokens / TOKENS_PER_PROMPT_UNIT
