"""Handles a request from its arrival at a host to its outcome."""

import asyncio
import math
from collections.abc import Awaitable, Callable

import logbook

from radishshift.decisions.routes import choose_service
from radishshift.errors import (
    AuthenticationError,
    DeadlineError,
    EndpointError,
    InternalError,
    NoConfigurationError,
    NotFoundError,
    RadishshiftError,
    ShuttingDownError,
)
from radishshift.gateway.complete_answers import relay_complete_answer
from radishshift.gateway.deployment import Customer, RouteKind
from radishshift.gateway.dispatch import Dispatcher
from radishshift.gateway.error_answers import error_answer
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import CallerAnswer, CallerRequest
from radishshift.gateway.monitor import Monitor
from radishshift.gateway.streams import StreamRelay

__all__ = ["RequestPath"]

SHUTDOWN_RETRY_AFTER_S = 0.05
# Share of a caller's time for which a host that starts, or goes on after a standstill,
# may wait to learn the configuration.
VIEW_WAIT_SHARE = 0.4

logger = logbook.Logger("requests")


class RequestPath:
    """Routes the requests of callers and returns the answers.

    Parameters
    ----------
    dispatcher : Dispatcher
    monitor : Monitor
    wait_for_initial_load : callable
        Waits until the host has its first configuration, at most until an instant.

    Attributes
    ----------
    exits_at : float
        Instant at which the process exits; requests that may last longer are refused.
    accept_streams_until : float
        Instant until which streams are accepted that should end in time, whatever their
        deadline: the load balancer does not yet know of the shutdown.
    stopping_since : float
        Instant at which the host began to stop.
    in_flight : int
        Number of requests without a final answer.
    wait_for_refresh : callable or None
        Waits while the host refreshes its view after a standstill, at most until an
        instant.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        monitor: Monitor,
        wait_for_initial_load: Callable[[float], Awaitable[None]],
    ) -> None:
        self._dispatcher = dispatcher
        self._monitor = monitor
        self._wait_for_initial_load = wait_for_initial_load
        self.exits_at = math.inf
        self.accept_streams_until = math.inf
        self.stopping_since = math.inf
        self.in_flight = 0
        self.wait_for_refresh: Callable[[float], Awaitable[None]] | None = None

    async def handle(self, req: CallerRequest, caller: CallerAnswer) -> None:
        """Answer one request; the caller gets exactly one answer or a reset."""
        self.in_flight += 1
        outcome = _Outcome(req)
        try:
            await self._answer(req, caller, outcome)
        except RadishshiftError as exc:
            await self._send_error(req, caller, outcome, exc)
        except asyncio.CancelledError:
            # The caller closed the connection, or the process ends.
            stopped = self._dispatcher.clock.now() >= self.exits_at
            outcome.error = "shutting-down" if stopped else "caller-left"
            raise
        except ConnectionError as exc:
            # Writing to the caller failed.
            outcome.error = "caller-lost"
            outcome.reason = repr(exc)
            caller.abort()
        except Exception as exc:
            logger.exception("request failed with an internal error")
            await self._send_error(req, caller, outcome, InternalError(repr(exc)))
        finally:
            self.in_flight -= 1
            if outcome.job is not None:
                self._keep_session(outcome.job)
            self._report(outcome)

    async def _answer(
        self, req: CallerRequest, caller: CallerAnswer, outcome: "_Outcome"
    ) -> None:
        host_view = self._dispatcher.host_view
        if self._dispatcher.clock.now() >= self.exits_at:
            raise _shutting_down()
        waiting_s = VIEW_WAIT_SHARE * (req.deadline - req.received_at)
        if not host_view.loaded:
            await self._wait_for_initial_load(req.received_at + waiting_s)
        if self.wait_for_refresh is not None:
            await self.wait_for_refresh(req.received_at + waiting_s)
        job = self._create_job(req)
        outcome.job = job
        dispatcher = self._dispatcher
        now = dispatcher.clock.now()
        dispatcher.budget(job.service).request_received(now)
        if self._may_outlast_process(job, now):
            raise _shutting_down()
        try:
            async with asyncio.timeout(job.deadline - now):
                outcome.status = await self._run(job, caller, outcome)
        except TimeoutError:
            raise DeadlineError("no answer before the deadline") from None

    def _may_outlast_process(self, job: Job, now: float) -> bool:
        """Return whether a request may still run when the process exits."""
        if job.deadline < self.exits_at:
            return False
        if job.route.kind is not RouteKind.STREAM or now >= self.accept_streams_until:
            return True
        longest_s = self._dispatcher.longest_stream_s(job)
        return longest_s is not None and now + longest_s > self.exits_at

    async def _run(self, job: Job, caller: CallerAnswer, outcome: "_Outcome") -> int:
        if job.route.kind is not RouteKind.STREAM:
            return await relay_complete_answer(self._dispatcher, job, caller)
        relay = StreamRelay(self._dispatcher, job, caller)
        outcome.relay = relay
        return await relay.run()

    def _create_job(self, req: CallerRequest) -> Job:
        """Decide a request's job, and keep its session on the version chosen.

        Raises
        ------
        NoConfigurationError, NotFoundError, AuthenticationError
        """
        job = self._decide_job(req)
        self._keep_session(job)
        return job

    def _keep_session(self, job: Job) -> None:
        """Keep a request's session, which goes on from its end, on its version."""
        if job.req.session:
            dispatcher = self._dispatcher
            dispatcher.versions.record_session_version(
                job.service, job.req.session, job.version, dispatcher.clock.now()
            )

    def _decide_job(self, req: CallerRequest) -> Job:
        """Decide route, customer, service and version for all attempts of a request.

        Raises
        ------
        NoConfigurationError, NotFoundError, AuthenticationError
        """
        host_view = self._dispatcher.host_view
        deployment = host_view.deployment
        if deployment is None:
            raise NoConfigurationError("this host has no configuration yet")
        route = host_view.routes.find(req.host, req.target)
        if route is None:
            raise NotFoundError("no route for this host and path")
        customer: Customer | None = None
        if deployment.keys_required and not route.public:
            customer = deployment.customer_of(req.key)
            if customer is None:
                raise AuthenticationError("the key is missing or unknown")
        if not route.shares:
            raise NoConfigurationError(f"the route {route.name} names no service")
        sticky_key = _sticky_key(req)
        service = choose_service(route.shares, sticky_key)
        deadline = min(req.deadline, req.received_at + route.timeout_s)
        job = Job(req, route, service, customer, deadline)
        job.version = self._choose_version(service, sticky_key)
        return job

    def preview(self, req: CallerRequest) -> Job:
        """Return the job of a request that isn't run.

        Raises
        ------
        NoConfigurationError, NotFoundError, AuthenticationError, ShuttingDownError
        """
        job = self._decide_job(req)
        if self._may_outlast_process(job, self._dispatcher.clock.now()):
            raise _shutting_down()
        return job

    def _choose_version(self, service: str, sticky_key: str) -> str:
        """Return the version to run a request on, or an empty string for any."""
        dispatcher = self._dispatcher
        versions = dispatcher.versions
        now = dispatcher.clock.now()
        canary = versions.canaries.get(service)
        new = versions.uses_new_version(service, sticky_key, now)
        if canary is None or new is None:
            return ""
        target = canary.rollout.target
        members = list(dispatcher.host_view.members_of(service))
        other_versions = sorted(
            {member.version for member in members if member.version != target}
        )
        if not any(member.version == target for member in members):
            new = False
        return target if new or not other_versions else other_versions[0]

    async def _send_error(
        self,
        req: CallerRequest,
        caller: CallerAnswer,
        outcome: "_Outcome",
        exc: RadishshiftError,
    ) -> None:
        outcome.error = exc.code
        outcome.reason = exc.message[:200]
        if caller.started:
            outcome.status = 0
            caller.abort()
            return
        ran = outcome.job is not None and outcome.job.may_have_run
        if isinstance(exc, EndpointError | DeadlineError) and outcome.job is not None:
            ran = ran or bool(outcome.job.used_endpoints)
        status, headers, body = error_answer(exc, req.request_id, ran)
        outcome.status = status
        try:
            await caller.send(status, headers, body)
        except ConnectionError as lost:
            outcome.reason += f"; not delivered: {lost!r}"

    def _report(self, outcome: "_Outcome") -> None:
        """Log the outcome of a request and count it in the metrics."""
        req = outcome.req
        job = outcome.job
        now = self._dispatcher.clock.now()
        host_view = self._dispatcher.host_view
        took_s = now - req.received_at
        route = "" if job is None else job.route.name
        self._monitor.record_request(route, outcome.status, outcome.error, took_s)
        extra = {
            "request_id": req.request_id,
            "status": outcome.status,
            "took_s": round(took_s, 4),
            "configuration": host_view.version,
            "staleness_s": host_view.freshness.staleness_s(now),
        }
        if outcome.error:
            extra |= {"error": outcome.error, "reason": outcome.reason}
        if self.stopping_since < math.inf:
            # Negative for a request that was in flight when the host began to stop.
            extra["after_stop_s"] = round(req.received_at - self.stopping_since, 3)
        if job is not None:
            extra |= {
                "route": route,
                "service": job.service,
                "version": job.version,
                "attempts": job.attempts,
                "coordinated": job.coordinated,
                "helpers": job.helpers,
                "endpoints": job.used_endpoints,
                "failed": job.failed_endpoints,
                "left_s": round(job.deadline - now, 3),
            }
        if outcome.relay is not None:
            extra |= {
                "model": outcome.relay.model,
                "prompt_tokens": req.prompt_tokens,
                "escalated": outcome.relay.escalated,
                "events": outcome.relay.events,
                "writes": outcome.relay.writes,
                "pause_most_s": round(outcome.relay.max_pause_s, 3),
                "first_s": round(max(0.0, outcome.relay.first_at - req.received_at), 4),
            }
        logger.info("request ended", extra=extra)


def _sticky_key(req: CallerRequest) -> str:
    """Return what requests have in common that stay on one version."""
    return req.session or req.request_id


def _shutting_down() -> ShuttingDownError:
    return ShuttingDownError(
        "this host is stopping", retry_after_s=SHUTDOWN_RETRY_AFTER_S
    )


class _Outcome:
    """Collects the data for the log line of a request."""

    def __init__(self, req: CallerRequest) -> None:
        self.req = req
        self.job: Job | None = None
        self.relay: StreamRelay | None = None
        self.status = 0  # 0: no complete answer was sent
        self.error = ""
        self.reason = ""
