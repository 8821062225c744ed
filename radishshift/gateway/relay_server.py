"""Relays attempts for peers that reach no endpoint of a service.

An attempt that arrives here goes to an endpoint or fails; it is never handed on again.
The peer keeps the request: it decides on retries, and spends their budget.
"""

import asyncio
from collections.abc import Callable

import logbook

from radishshift import http_server as web
from radishshift.clocks import Clock
from radishshift.decisions.service_reach import ReachTracker
from radishshift.errors import (
    DeadlineError,
    EndpointUnreachableError,
    HelperUnavailableError,
    RadishshiftError,
)
from radishshift.gateway.attempts import Attempt
from radishshift.gateway.bounded_ports import read_message
from radishshift.gateway.deployment import RouteKind
from radishshift.gateway.dispatch import Dispatcher
from radishshift.gateway.jobs import Job
from radishshift.gateway.relay_messages import (
    HEAD_END,
    RelayHead,
    RelayOrder,
    decode_message,
    encode_message,
    plain_headers,
)
from radishshift.gateway.sockets import enable_keepalive
from radishshift.verdicts import Verdict

__all__ = ["RelayServer"]

# A host relays at most so many attempts at a time; its own callers come first.
MAX_RELAYING = 64

logger = logbook.Logger("relay")


class RelayServer:
    """Makes attempts for peers.

    Parameters
    ----------
    clock : Clock
    dispatcher : Dispatcher
    tracker : ReachTracker
    stopping : callable
        Tells whether this host is about to stop.

    Attributes
    ----------
    in_flight : int
        Attempts that are being relayed.
    relayed, declined : int
        Attempts that were relayed, and that were not begun.
    """

    def __init__(
        self,
        clock: Clock,
        dispatcher: Dispatcher,
        tracker: ReachTracker,
        stopping: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._dispatcher = dispatcher
        self._tracker = tracker
        self._stopping = stopping
        self.in_flight = 0
        self.relayed = 0
        self.declined = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Relay the attempt of a request; a malformed one gets status 400."""
        try:
            order = decode_message(await read_message(request), RelayOrder)
            job = order.job(self._clock.now())
        except ValueError as exc:
            logger.warning("malformed relay order: {}", exc)
            return web.Response(status=400)
        # A peer that lost power does not cancel the attempt.
        if request.transport is not None:
            enable_keepalive(request.transport.get_extra_info("socket"))
        resp = web.StreamResponse()
        await self.relay(order, job, request, resp)
        return resp

    async def relay(
        self,
        order: RelayOrder,
        job: Job,
        request: web.BaseRequest,
        resp: web.StreamResponse,
    ) -> None:
        """Make the attempt of an order, and send its outcome as the response."""
        relay = _Relay(self._dispatcher, order, job, request, resp)
        self.in_flight += 1
        outcome = "cancelled"
        try:
            self._check_may_relay(job.service)
            async with asyncio.timeout(order.left_s):
                await relay.run()
            outcome = "ok"
        except TimeoutError:
            outcome = DeadlineError.code
            verdict = Verdict.MAY_HAVE_RUN if relay.endpoint else Verdict.NOT_RUN
            await relay.fail(
                DeadlineError("no answer before the deadline", verdict=verdict)
            )
        except RadishshiftError as exc:
            exc = self._error_for_peer(exc, job.service)
            outcome = exc.code
            await relay.fail(exc)
        finally:
            self.in_flight -= 1
            if outcome == HelperUnavailableError.code:
                self.declined += 1
            else:
                self.relayed += 1
            logger.info(
                "attempt of a peer ended",
                extra={
                    "request_id": job.req.request_id,
                    "service": job.service,
                    "peer": order.sender,
                    "endpoint": relay.endpoint,
                    "outcome": outcome,
                    "took_s": round(self._clock.now() - job.req.received_at, 4),
                    "relaying": self.in_flight,
                },
            )

    def _error_for_peer(self, exc: RadishshiftError, service: str) -> RadishshiftError:
        """Return the error to send: a peer asks this host again unless it declines."""
        if isinstance(exc, EndpointUnreachableError) and self._tracker.lost(service):
            return HelperUnavailableError(f"this host has lost {service}, too")
        return exc

    def _check_may_relay(self, service: str) -> None:
        """Raise if this host cannot help.

        Raises
        ------
        HelperUnavailableError
        """
        if self._stopping():
            raise HelperUnavailableError("this host is stopping")
        if self._tracker.lost(service):
            raise HelperUnavailableError(f"this host has lost {service}, too")
        if self.in_flight > MAX_RELAYING:
            raise HelperUnavailableError(f"this host relays {MAX_RELAYING} attempts")


class _Relay:
    """One attempt that is made for a peer."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        order: RelayOrder,
        job: Job,
        request: web.BaseRequest,
        resp: web.StreamResponse,
    ) -> None:
        self._dispatcher = dispatcher
        self._order = order
        self._job = job
        self._request = request
        self._resp = resp
        self._attempt: Attempt | None = None

    @property
    def endpoint(self) -> str:
        """Return the name of the endpoint, empty before it is chosen."""
        return "" if self._attempt is None else self._attempt.member.name

    async def run(self) -> None:
        """Make the attempt, and pass its answer on.

        Raises
        ------
        RadishshiftError
        """
        job = self._job
        dispatcher = self._dispatcher
        dispatcher.check_before_attempt(job)
        member = await dispatcher.placement.place(job, self._order.model)
        dispatcher.check_before_attempt(job)
        with dispatcher.attempt(job, member, self._order.model) as attempt:
            self._attempt = attempt
            attempt.for_peer = True
            attempt.may_retry = job.route.idempotent and self._order.may_retry
            answer = await dispatcher.open(attempt, self._order.last_event_id)
            head = self._head()
            head.status = answer.status
            head.headers = plain_headers(answer.headers)
            head.signed = answer.signed
            head.confidence = answer.confidence
            await self._send_head(head)
            while data := await self._next_bytes(attempt):
                await self._resp.write(data)
            await self._resp.write_eof()

    async def fail(self, exc: RadishshiftError) -> None:
        """Tell the peer of a failure; a body that has begun is broken off."""
        if self._resp.prepared:
            transport = self._request.transport
            if transport is not None:
                transport.abort()
            return
        head = self._head()
        head.error = exc.body()["error"]
        await self._send_head(head)
        await self._resp.write_eof()

    async def _next_bytes(self, attempt: Attempt) -> bytes:
        route = attempt.job.route
        if route.kind is RouteKind.STREAM:
            return await self._dispatcher.next_bytes(attempt)
        return await attempt.answer.chunk()

    def _head(self) -> RelayHead:
        request_id = self._job.req.request_id
        if self._attempt is None:
            return RelayHead(request_id=request_id)
        member = self._attempt.member
        return RelayHead(
            member.name,
            member.version,
            member.data_centre,
            member.born_ms,
            request_id=request_id,
        )

    async def _send_head(self, head: RelayHead) -> None:
        self._resp.enable_chunked_encoding()
        await self._resp.prepare(self._request)
        await self._resp.write(encode_message(head) + HEAD_END)
