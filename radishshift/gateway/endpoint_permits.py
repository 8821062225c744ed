"""Permits for attempts at endpoints that bear a few requests of all hosts together.

These are endpoints that state a limit, and those that are cold after a start.

One host keeps the budget of an endpoint: the coordinator of the endpoint's data centre,
or the host that would be. The others ask it over HTTP with JSON. An endpoint whose
permit is refused, or whose host does not answer, gets no request for a while.

What is in flight at brittle endpoints is bounded, so the others also tell the keeper
when an attempt has ended, and whether the endpoint refused it.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import logbook
import msgspec

from radishshift import http_server as web
from radishshift.clocks import Clock
from radishshift.decisions.brittle_endpoints import BrittleBudgets
from radishshift.decisions.endpoint_limits import (
    EndpointLimits,
    Incarnation,
    RequestBudgets,
)
from radishshift.gateway.deployment import Member
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.jobs import Job
from radishshift.gateway.peer_calls import answer_peer, call_peer
from radishshift.gateway.peer_table import PeerTable
from radishshift.gateway.sockets import keepalive_session

__all__ = ["ENDED_PATH", "PATH", "EndpointPermits"]

PATH = "/permit"
ENDED_PATH = "/permit-ended"
ASK_TIMEOUT_S = 0.1
RETRY_S = 1.0  # after a question that got no answer
PERMIT_MAX_AGE_S = 0.5  # from the question until the attempt is sent

logger = logbook.Logger("permits")


class PermitQuestion(msgspec.Struct):
    """Asks for one request to an endpoint.

    Attributes
    ----------
    endpoint, data_centre : str
        Name and data centre of the endpoint.
    born_ms : int
        Start of the endpoint, milliseconds since the epoch.
    per_s : float or None
        What the endpoint bears as the sender knows it, in requests per second.
    refusals_per_s : int or None
        Requests that the endpoint may refuse, as the sender knows it; None if it is not
        brittle.
    slots : int
        Requests that the endpoint runs at a time.
    attempt : str
        Name of the attempt.
    left_s : float
        Time until the attempt ends at the latest.
    """

    endpoint: str
    born_ms: int
    data_centre: str
    per_s: float | None = None
    refusals_per_s: int | None = None
    slots: int = 0
    attempt: str = ""
    left_s: float = 0.0


class PermitReply(msgspec.Struct):
    """Tells the time in seconds after which to ask again; 0 for a permit."""

    retry_s: float


class AttemptEnded(msgspec.Struct):
    """Tells that a permitted attempt has ended.

    Attributes
    ----------
    endpoint, born_ms, data_centre, attempt
        As in `PermitQuestion`.
    refused : bool
        Whether the endpoint refused it.
    """

    endpoint: str
    born_ms: int
    data_centre: str
    attempt: str
    refused: bool


class EndpointPermits:
    """Acquires permits, and gives them where this host keeps the budget.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    limits : EndpointLimits
    peers : PeerTable
    cold_per_s : callable, optional
        Returns the requests per second that a cold endpoint bears, None for a warm one.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        limits: EndpointLimits,
        peers: PeerTable,
        cold_per_s: Callable[[Incarnation], float | None] = lambda endpoint: None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._limits = limits
        self._peers = peers
        self._cold_per_s = cold_per_s
        self._budgets = RequestBudgets()
        self._brittle_budgets = BrittleBudgets()
        # Deadlines of the attempts at brittle endpoints that hold a permit.
        self._held: dict[str, float] = {}
        self._reports: set[asyncio.Task] = set()
        self._retry_at: dict[Incarnation, float] = {}
        self._silent_until: dict[str, float] = {}
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def required(self, member: Member) -> bool:
        """Return whether a request to an endpoint needs a permit."""
        endpoint = member.incarnation
        return self._limits.stated(endpoint) or self._cold_per_s(endpoint) is not None

    def _per_s(
        self, endpoint: Incarnation, asked_per_s: float | None = None
    ) -> float | None:
        """Return the requests per second that an endpoint bears, None for any.

        Parameters
        ----------
        asked_per_s : float or None
            As another host knows it; counts unless this host has heard of a limit.
        """
        limit_per_s = self._limits.per_s(endpoint)
        if limit_per_s is None:
            limit_per_s = asked_per_s
        known = (limit_per_s, self._cold_per_s(endpoint))
        return min((per_s for per_s in known if per_s is not None), default=None)

    def retry_at(self, member: Member) -> float:
        """Return the instant from which a permit may be asked for, 0 for now."""
        at = self._retry_at.get(member.incarnation, 0.0)
        return at if at and self.required(member) else 0.0

    def can_grant(self, member: Member) -> bool:
        """Return whether this host could permit a request to an endpoint now."""
        endpoint = member.incarnation
        if not self.required(member):
            return True
        if not self._keeps_budget(member.name, member.data_centre):
            return False
        now = self._clock.now()
        per_s = self._per_s(endpoint)
        refusals_per_s = self._limits.refusals_per_s(endpoint)
        return (
            per_s is None or self._budgets.available(endpoint, per_s, now)
        ) and not (
            refusals_per_s is not None
            and self._brittle_budgets.retry_s(
                endpoint, refusals_per_s, member.slots, now
            )
        )

    async def acquire(self, member: Member, job: Job) -> bool:
        """Return whether the next attempt of a job may be sent to an endpoint now."""
        if not self.required(member):
            return True
        now = self._clock.now()
        if now < self.retry_at(member):
            return False
        endpoint = member.incarnation
        question = PermitQuestion(
            member.name,
            member.born_ms,
            member.data_centre,
            self._per_s(endpoint),
            self._limits.refusals_per_s(endpoint),
            member.slots,
            job.attempt_id,
            round(job.deadline - now, 3),
        )
        retry_s = await self._ask_keeper(question)
        if self._clock.now() - now > PERMIT_MAX_AGE_S:
            # The process was paused; the keeper has counted the permit for the past.
            return False
        if retry_s:
            self._retry_at[endpoint] = self._clock.now() + retry_s
        elif question.refusals_per_s is not None:
            self._held[question.attempt] = job.deadline
        return not retry_s

    def attempt_ended(self, member: Member, attempt: str, refused: bool) -> None:
        """Tell the keeper of an endpoint's budget if an attempt had a permit of it."""
        if self._held.pop(attempt, None) is None:
            return
        ended = AttemptEnded(
            member.name, member.born_ms, member.data_centre, attempt, refused
        )
        task = asyncio.ensure_future(self._tell_keeper(ended))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    async def _tell_keeper(self, ended: AttemptEnded) -> None:
        now = self._clock.now()
        keeper = self._peers.keeper(ended.endpoint, ended.data_centre, now)
        if keeper == self._settings.host:
            self.record_end(ended)
            return
        address = self._peers.address_of(keeper)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                await self._tell(address, ended)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError) as exc:
            # The keeper counts the attempt until its deadline.
            logger.warning(
                "host {} does not hear of the end of an attempt at {}: {!r}",
                keeper,
                ended.endpoint,
                exc,
            )

    def record_end(self, ended: AttemptEnded) -> PermitReply:
        """Record the end of an attempt that this host permitted."""
        endpoint = (ended.endpoint, ended.born_ms)
        self._brittle_budgets.end(
            endpoint, ended.attempt, ended.refused, self._clock.now()
        )
        return PermitReply(0.0)

    def grant(self, question: PermitQuestion) -> float:
        """Return 0 if the sender may send its request, else when to ask again."""
        endpoint = (question.endpoint, question.born_ms)
        if not self._keeps_budget(question.endpoint, question.data_centre):
            self._budgets.drop(endpoint)
            self._brittle_budgets.drop(endpoint)
            return RETRY_S
        now = self._clock.now()
        # This host may not have heard of the limits yet.
        per_s = self._per_s(endpoint, question.per_s)
        refusals_per_s = self._limits.refusals_per_s(endpoint)
        if refusals_per_s is None:
            refusals_per_s = question.refusals_per_s
        retry_s = 0.0
        if refusals_per_s is not None:
            retry_s = self._brittle_budgets.retry_s(
                endpoint, refusals_per_s, question.slots, now
            )
        if per_s is not None and not retry_s:
            retry_s = self._budgets.acquire(endpoint, per_s, now)
        if refusals_per_s is not None and not retry_s:
            self._brittle_budgets.acquire(
                endpoint,
                refusals_per_s,
                question.slots,
                question.attempt,
                now + question.left_s,
                now,
            )
        return retry_s

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the question of another host, or take its report."""
        if request.path == ENDED_PATH:
            return await answer_peer(request, AttemptEnded, self.record_end)
        return await answer_peer(
            request, PermitQuestion, lambda question: PermitReply(self.grant(question))
        )

    def keep_only(self, endpoints: set[Incarnation]) -> None:
        """Forget what concerns other endpoints."""
        self._budgets.keep_only(endpoints)
        self._brittle_budgets.keep_only(endpoints)
        now = self._clock.now()
        self._held = {
            attempt: ends_at for attempt, ends_at in self._held.items() if ends_at > now
        }
        for endpoint in self._retry_at.keys() - endpoints:
            del self._retry_at[endpoint]

    def _keeps_budget(self, endpoint: str, data_centre: str) -> bool:
        keeper = self._peers.keeper(endpoint, data_centre, self._clock.now())
        return keeper == self._settings.host

    async def _ask_keeper(self, question: PermitQuestion) -> float:
        """Return the time after which to ask again, 0 for a permit."""
        now = self._clock.now()
        keeper = self._peers.keeper(question.endpoint, question.data_centre, now)
        if keeper == self._settings.host:
            return self.grant(question)
        silent_s = self._silent_until.get(keeper, 0.0) - now
        if silent_s > 0:
            return silent_s
        address = self._peers.address_of(keeper)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                reply = await self._ask(address, question)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError) as exc:
            now = self._clock.now()
            self._silent_until[keeper] = now + RETRY_S
            self._peers.record_failure(address, exc, now)
            logger.warning(
                "host {} does not answer for endpoint {}: {!r}",
                keeper,
                question.endpoint,
                exc,
            )
            return RETRY_S
        return reply.retry_s

    async def _ask(self, address: str, question: PermitQuestion) -> PermitReply:
        return await self._call(address, PATH, question)

    async def _tell(self, address: str, ended: AttemptEnded) -> PermitReply:
        return await self._call(address, ENDED_PATH, ended)

    async def _call(
        self, address: str, path: str, message: msgspec.Struct
    ) -> PermitReply:
        if self._session is None:
            self._session = keepalive_session(idle_s=5.0)
        return await call_peer(self._session, address, path, message, PermitReply)
