"""Permits for attempts at endpoints that limit the requests of all hosts together.

One host keeps the budget of an endpoint: the coordinator of the endpoint's data centre,
or the host that would be. The others ask it over HTTP with JSON. An endpoint whose
permit is refused, or whose host does not answer, gets no request for a while.
"""

import asyncio

import aiohttp
import logbook
import msgspec
from aiohttp import web

from radishshift.clocks import Clock
from radishshift.decisions.endpoint_limits import (
    EndpointLimits,
    Incarnation,
    RequestBudgets,
)
from radishshift.gateway.deployment import Member
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.peer_calls import answer_peer, call_peer
from radishshift.gateway.peer_table import PeerTable
from radishshift.gateway.sockets import keepalive_session

__all__ = ["PATH", "EndpointPermits"]

PATH = "/permit"
ASK_TIMEOUT_S = 0.1
RETRY_S = 1.0  # after a question that got no answer

logger = logbook.Logger("permits")


class PermitQuestion(msgspec.Struct):
    """Asks for one request to an endpoint.

    Attributes
    ----------
    endpoint, data_centre : str
        Name and data centre of the endpoint.
    born_ms : int
        Start of the endpoint, milliseconds since the epoch.
    per_s : float
        Limit of the endpoint as the sender knows it, in requests per second.
    """

    endpoint: str
    born_ms: int
    data_centre: str
    per_s: float


class PermitReply(msgspec.Struct):
    """Tells the time in seconds after which to ask again; 0 for a permit."""

    retry_s: float


class EndpointPermits:
    """Acquires permits, and gives them where this host keeps the budget.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    limits : EndpointLimits
    peers : PeerTable
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        limits: EndpointLimits,
        peers: PeerTable,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._limits = limits
        self._peers = peers
        self._budgets = RequestBudgets()
        self._retry_at: dict[Incarnation, float] = {}
        self._silent_until: dict[str, float] = {}
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def required(self, member: Member) -> bool:
        """Return whether a request to an endpoint needs a permit."""
        return self._limits.per_s(member.incarnation) is not None

    def retry_at(self, member: Member) -> float:
        """Return the instant from which a permit may be asked for, 0 for now."""
        if not self.required(member):
            return 0.0
        return self._retry_at.get(member.incarnation, 0.0)

    def can_grant(self, member: Member) -> bool:
        """Return whether this host could permit a request to an endpoint now."""
        per_s = self._limits.per_s(member.incarnation)
        if per_s is None:
            return True
        return self._keeps_budget(
            member.name, member.data_centre
        ) and self._budgets.available(member.incarnation, per_s, self._clock.now())

    async def acquire(self, member: Member) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        per_s = self._limits.per_s(member.incarnation)
        if per_s is None:
            return True
        if self._clock.now() < self.retry_at(member):
            return False
        question = PermitQuestion(
            member.name, member.born_ms, member.data_centre, per_s
        )
        retry_s = await self._ask_keeper(question)
        if retry_s:
            self._retry_at[member.incarnation] = self._clock.now() + retry_s
        return not retry_s

    def grant(self, question: PermitQuestion) -> float:
        """Return 0 if the sender may send its request, else when to ask again."""
        endpoint = (question.endpoint, question.born_ms)
        if not self._keeps_budget(question.endpoint, question.data_centre):
            self._budgets.drop(endpoint)
            return RETRY_S
        # This host may not have heard of the limit yet.
        known_per_s = self._limits.per_s(endpoint)
        per_s = question.per_s if known_per_s is None else known_per_s
        return self._budgets.acquire(endpoint, per_s, self._clock.now())

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the question of another host."""
        return await answer_peer(
            request, PermitQuestion, lambda question: PermitReply(self.grant(question))
        )

    def keep_only(self, endpoints: set[Incarnation]) -> None:
        """Forget what concerns other endpoints."""
        self._budgets.keep_only(endpoints)
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
        if self._session is None:
            self._session = keepalive_session(idle_s=5.0)
        return await call_peer(self._session, address, PATH, question, PermitReply)
