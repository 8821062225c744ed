"""Placement of requests by one host of a large data centre for all its hosts.

A host asks the coordinator of its data centre for an endpoint, over HTTP with JSON, and
tells it the load and the outcomes of its attempts. Without a reply in time it chooses
for itself.
"""

import asyncio
from collections.abc import Collection, Iterable

import aiohttp
import logbook
import msgspec

from radishshift import http_server as web
from radishshift.clocks import Clock
from radishshift.decisions.fleet_load import PlacementQuota
from radishshift.decisions.held_prefixes import Part
from radishshift.decisions.placing import (
    COORDINATED_REMOTE_COST,
    PlacementRequest,
    Placer,
)
from radishshift.gateway.deployment import Member
from radishshift.gateway.endpoint_permits import EndpointPermits
from radishshift.gateway.gossip import Gossip
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.host_view import HostView
from radishshift.gateway.peer_calls import answer_peer, call_peer
from radishshift.gateway.sockets import keepalive_session

__all__ = ["FAILED_OUTCOME", "PATH", "UNREACHABLE_OUTCOME", "SharedPlacement"]

PATH = "/place"
RETRY_S = 1.0  # after a question that got no reply in time, or no endpoint
# In place of the latency ratio of an attempt that failed, and of one for which no
# connection could be opened.
FAILED_OUTCOME = -1.0
UNREACHABLE_OUTCOME = -2.0
MAX_OUTCOMES = 64  # kept for the next question

logger = logbook.Logger("placement")


class _Question(msgspec.Struct, omit_defaults=True):
    """Asks for the endpoint of an attempt.

    Attributes
    ----------
    host : str
    load : dict of str to float
        Load that the host puts on each endpoint.
    outcomes : list of tuple
        Endpoint and latency ratio, `FAILED_OUTCOME` or `UNREACHABLE_OUTCOME` of
        attempts that ended since the last question.
    avoided : list of str
        Endpoints that the host takes to be unavailable.
    service, affinity, shared_tokens, prefill_ktokens, tried, version, excluded, parts
        As in `PlacementRequest`; hosts of earlier releases name no parts.
    prompt_tokens : int
        As in `PlacementRequest`.
    """

    host: str
    service: str
    load: dict[str, float] = {}
    outcomes: list[tuple[str, float]] = []
    avoided: list[str] = []
    excluded: list[str] = []
    affinity: str = ""
    shared_tokens: int = 0
    prefill_ktokens: float = 0.0
    tried: list[str] = []
    version: str = ""
    parts: list[Part] = []
    prompt_tokens: int = 0


class _Reply(msgspec.Struct):
    """Names the endpoint; none if the coordinator knows of none or is overloaded."""

    endpoint: str


class SharedPlacement:
    """Asks the coordinator for endpoints, and answers where this host coordinates.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    host_view : HostView
    placer : Placer
    gossip : Gossip
    permits : EndpointPermits
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        host_view: HostView,
        placer: Placer,
        gossip: Gossip,
        permits: EndpointPermits,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._host_view = host_view
        self._placer = placer
        self._gossip = gossip
        self._permits = permits
        self._outcomes: list[tuple[str, float]] = []
        self._retry_at = 0.0
        self._quota = PlacementQuota()
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    @property
    def coordinates(self) -> bool:
        """Return whether this host places the requests of its data centre."""
        return self._gossip.coordinates()

    def record_outcome(self, endpoint: str, latency_ratio: float) -> None:
        """Keep the outcome of an attempt for the next question."""
        if len(self._outcomes) < MAX_OUTCOMES:
            self._outcomes.append((endpoint, latency_ratio))

    async def suggest(
        self, request: PlacementRequest, avoided: Collection[str], timeout_s: float
    ) -> str:
        """Return the endpoint that the coordinator names, or an empty string.

        Parameters
        ----------
        request : PlacementRequest
        avoided : collection of str
            Endpoints that this host takes to be unavailable.
        timeout_s : float
            Time to wait for a reply.
        """
        now = self._clock.now()
        coordinator = self._gossip.peers.coordinator(now)
        if coordinator is None:
            self._outcomes.clear()
            return ""
        if coordinator == self._settings.host:
            self._outcomes.clear()
            self._refresh_loads(self._host_view.members_of(request.service))
            return ""
        if now < self._retry_at:
            return ""
        question = _Question(
            self._settings.host,
            request.service,
            self._gossip.own_load(),
            self._outcomes,
            list(avoided),
            list(request.excluded),
            request.affinity,
            request.shared_tokens,
            request.prefill_ktokens,
            list(request.tried),
            request.version,
            list(request.parts),
            request.prompt_tokens,
        )
        self._outcomes = []
        address = self._gossip.peers.address_of(coordinator)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._ask(address, question)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError) as exc:
            now = self._clock.now()
            self._retry_at = now + RETRY_S
            self._gossip.peers.record_failure(address, exc, now)
            logger.warning("coordinator {} does not answer: {!r}", coordinator, exc)
            return ""
        if not reply.endpoint:
            self._retry_at = self._clock.now() + RETRY_S
        return reply.endpoint

    async def _ask(self, address: str, question: _Question) -> _Reply:
        if self._session is None:
            self._session = keepalive_session(idle_s=5.0)
        return await call_peer(self._session, address, PATH, question, _Reply)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the question of another host."""
        return await answer_peer(
            request, _Question, lambda question: _Reply(self.place(question))
        )

    def place(self, question: _Question) -> str:
        """Choose an endpoint for another host, and count it as that host's load."""
        now = self._clock.now()
        fleet_load = self._gossip.fleet_load
        fleet_load.report(question.host, question.load, now)
        if not self._quota.admit(now):
            return ""
        members = {
            member.name: member
            for member in self._host_view.members_of(question.service)
        }
        for endpoint, ratio in question.outcomes:
            if endpoint in members:
                self._record_outcome(members[endpoint], ratio, now)
        self._refresh_loads(members.values())
        request = PlacementRequest(
            question.service,
            self._settings.data_centre,
            question.affinity,
            question.shared_tokens,
            question.prefill_ktokens,
            [*question.avoided, *question.tried],
            question.version,
            COORDINATED_REMOTE_COST,
            parts=question.parts,
            prompt_tokens=question.prompt_tokens,
            sees_prompts=True,
        )
        # The other host acquires the permit before it sends the attempt.
        usable = [
            member
            for member in members.values()
            if member.name not in question.excluded and self._permits.can_grant(member)
        ]
        chosen = self._placer.choose(usable, request, now)
        if chosen is None:
            return ""
        fleet_load.add(question.host, chosen.name, request.own_load)
        return chosen.name

    def _record_outcome(self, member: Member, ratio: float, now: float) -> None:
        """Record an outcome at another host, as if it were this host's own."""
        view = self._placer.view(member)
        if ratio == UNREACHABLE_OUTCOME:
            view.record_unreachable(now)
        failed = ratio in (FAILED_OUTCOME, UNREACHABLE_OUTCOME)
        view.circuit_breaker.record_outcome(not failed, now)
        if not failed:
            view.record_latency_ratio(ratio)

    def _refresh_loads(self, members: Iterable[Member]) -> None:
        for member in members:
            total = self._gossip.fleet_load.total(member.name)
            self._placer.view(member).others_load = total
