"""Clients of model engines and of plain services."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import msgspec

from radishshift.endpoints import Endpoint
from radishshift.errors import DeadlineError, EndpointError
from radishshift.requests import ModelRequest, ServiceCall
from radishshift.verdicts import Verdict

__all__ = ["EngineClient", "EngineStream", "HttpEngineClient", "ServiceReply"]

NOT_STARTED_STATUSES = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """What a plain service answered."""

    status: int
    content_type: str
    body: bytes


class EngineStream:
    """The answer of one attempt as it comes in."""

    status: int = 200
    content_type: str = ""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes as they come.

        Raises
        ------
        EndpointError
            The connection broke, was idle for too long, or ended too soon.
        """
        raise NotImplementedError


class EngineClient:
    """What a host may ask of endpoints."""

    def open(
        self, endpoint: Endpoint, req: ModelRequest, version: str, attempt_id: str
    ):
        """Return a context manager that starts an attempt and gives its stream."""
        raise NotImplementedError

    def resume(self, endpoint: Endpoint, attempt_id: str, events: int):
        """Return a context manager that goes on with a stream from an offset."""
        raise NotImplementedError

    async def cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        """Tell an endpoint that no one waits for an attempt any more."""
        raise NotImplementedError

    async def call(self, endpoint: Endpoint, call: ServiceCall) -> ServiceReply:
        """Run a call of a plain service.

        Raises
        ------
        EndpointError
        DeadlineError
        """
        raise NotImplementedError


class _HttpStream(EngineStream):
    def __init__(self, resp: aiohttp.ClientResponse, idle_s: float) -> None:
        self.status = resp.status
        self.content_type = resp.content_type
        self._resp = resp
        self._idle_s = idle_s

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes as they come."""
        content = self._resp.content
        while True:
            try:
                async with asyncio.timeout(self._idle_s):
                    data = await content.readany()
            except TimeoutError as exc:
                raise EndpointError("the stream went silent") from exc
            except (aiohttp.ClientError, OSError) as exc:
                raise EndpointError(f"the stream broke: {exc}") from exc
            if not data:
                return
            yield data


class HttpEngineClient(EngineClient):
    """Endpoints spoken to over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
    connect_s, idle_s : float
        Longest waits for a connection and for the next bytes, in seconds.
    """

    def __init__(
        self, session: aiohttp.ClientSession, connect_s: float, idle_s: float
    ) -> None:
        self._session = session
        self._idle_s = idle_s
        self._timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_s)

    @asynccontextmanager
    async def open(
        self, endpoint: Endpoint, req: ModelRequest, version: str, attempt_id: str
    ) -> AsyncIterator[EngineStream]:
        """Start an attempt and give its stream."""
        body = dict(req.body)
        body["model"] = version
        body["priority"] = req.task_class.priority
        if req.stream:
            body["stream_options"] = {"include_usage": True}
        async with self._send(
            "POST",
            f"{endpoint.address}/v1/{req.operation}",
            headers={"X-Request-Id": attempt_id, "Content-Type": "application/json"},
            data=msgspec.json.encode(body),
        ) as resp:
            await self._check(resp)
            yield _HttpStream(resp, self._idle_s)

    @asynccontextmanager
    async def resume(
        self, endpoint: Endpoint, attempt_id: str, events: int
    ) -> AsyncIterator[EngineStream]:
        """Go on with a stream from an offset."""
        async with self._send(
            "GET",
            f"{endpoint.address}/v1/streams/{attempt_id}",
            params={"from_event": str(events)},
        ) as resp:
            await self._check(resp)
            yield _HttpStream(resp, self._idle_s)

    async def cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        """Tell an endpoint that no one waits for an attempt any more."""
        url = f"{endpoint.address}/v1/streams/{attempt_id}"
        try:
            async with asyncio.timeout(self._idle_s):
                async with self._session.delete(url):
                    pass
        except (aiohttp.ClientError, OSError):
            return

    async def call(self, endpoint: Endpoint, call: ServiceCall) -> ServiceReply:
        """Run a call of a plain service."""
        headers = dict(call.headers)
        headers["Idempotency-Key"] = call.idempotency_key
        headers["X-Request-Id"] = call.request_id
        async with self._send(
            call.method, endpoint.address + call.path, headers=headers, data=call.body
        ) as resp:
            if resp.status in NOT_STARTED_STATUSES:
                raise EndpointError("the endpoint is full", verdict=Verdict.NOT_RUN)
            body = await resp.read()
            return ServiceReply(resp.status, resp.content_type, body)

    @asynccontextmanager
    async def _send(
        self, method: str, url: str, **kwargs
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        try:
            async with self._session.request(
                method, url, timeout=self._timeout, **kwargs
            ) as resp:
                yield resp
        except aiohttp.ClientConnectorError as exc:
            raise EndpointError(str(exc), verdict=Verdict.NOT_RUN) from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise EndpointError(str(exc), verdict=Verdict.NOT_RUN) from exc
        except TimeoutError as exc:
            raise DeadlineError("the deadline has passed") from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise EndpointError(f"the connection broke: {exc}") from exc

    async def _check(self, resp: aiohttp.ClientResponse) -> None:
        if resp.status == 200:
            return
        if resp.status in NOT_STARTED_STATUSES:
            raise EndpointError("the endpoint is full", verdict=Verdict.NOT_RUN)
        raise EndpointError(f"the endpoint answered {resp.status}")
