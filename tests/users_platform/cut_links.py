"""An endpoint client whose way to the endpoints can be cut."""

import asyncio
import enum

from users_platform.endpoints import CONNECT_TIMEOUT_S, PlatformEndpoints

from radishshift.errors import EndpointUnreachableError, StreamBrokenError
from radishshift.gateway.messages import EndpointAnswer, ProbeOutcome

__all__ = ["Cut", "CutEndpoints"]


class Cut(enum.Enum):
    """How the way to the endpoints is cut."""

    NONE = "none"
    SILENT = "silent"  # nothing arrives, on open connections either
    RESET = "reset"  # open connections are reset, new ones refused
    REFUSED = "refused"  # open connections live on, new ones are refused


class _CutAnswer(EndpointAnswer):
    """An answer that a cut interrupts."""

    def __init__(self, answer: EndpointAnswer, client: "CutEndpoints") -> None:
        self._answer = answer
        self._client = client
        self.status = answer.status
        self.headers = answer.headers
        self.signed = answer.signed
        self.confidence = answer.confidence

    async def read(self) -> bytes:
        chunks = []
        while chunk := await self.chunk():
            chunks.append(chunk)
        return b"".join(chunks)

    async def chunk(self) -> bytes:
        data = await self._answer.chunk()
        if self._client.cut is Cut.SILENT:
            await asyncio.Event().wait()
        if self._client.cut is Cut.RESET:
            self._answer.abort()
            raise StreamBrokenError("connection lost in the stream")
        return data

    def buffered_bytes(self) -> bytes:
        return self._answer.buffered_bytes()

    def abort(self) -> None:
        self._answer.abort()


class CutEndpoints(PlatformEndpoints):
    """Reaches the endpoints only while nothing is cut.

    Attributes
    ----------
    cut : Cut
    cut_services : set of str or None
        Services whose endpoints are cut off; None for all.
    """

    cut = Cut.NONE
    cut_services: set[str] | None = None

    def _cut_from(self, member) -> Cut:
        if not member.service:
            return Cut.NONE  # a peer
        services = self.cut_services
        return self.cut if services is None or member.service in services else Cut.NONE

    async def send(self, order):
        cut = self._cut_from(order.member)
        if cut is Cut.SILENT:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
        if cut is not Cut.NONE:
            raise EndpointUnreachableError("no connection")
        answer = await super().send(order)
        return answer if self.cut_services else _CutAnswer(answer, self)

    async def probe(self, member):
        cut = self._cut_from(member)
        if cut is Cut.SILENT:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return ProbeOutcome.UNANSWERED
        if cut is not Cut.NONE:
            return ProbeOutcome.REFUSED
        return await super().probe(member)
