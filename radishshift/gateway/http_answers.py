"""Answers that are received over HTTP, and the memory that complete ones take."""

import aiohttp

from radishshift.errors import EndlessAnswerError, StreamBrokenError
from radishshift.gateway.client_connections import EndlessResponseError
from radishshift.gateway.messages import EndpointAnswer

__all__ = ["BodyBudget", "HttpAnswer"]

MAX_BUFFERED_BYTES = 8_000_000


class BodyBudget:
    """Bytes of the complete answers that are being received."""

    def __init__(self) -> None:
        self._total_bytes = 0

    async def read(self, answer: EndpointAnswer) -> bytes:
        """Read the complete body of an answer.

        Raises
        ------
        StreamBrokenError
            `EndlessAnswerError` if all bodies together exceed the bound.
        """
        chunks = []
        own_bytes = 0
        try:
            while chunk := await answer.chunk():
                chunks.append(chunk)
                own_bytes += len(chunk)
                self._total_bytes += len(chunk)
                if self._total_bytes > MAX_BUFFERED_BYTES:
                    answer.abort()
                    raise EndlessAnswerError("answers under way exceed their bound")
        finally:
            self._total_bytes -= own_bytes
        return b"".join(chunks)


class HttpAnswer(EndpointAnswer):
    """An answer whose body is that of an HTTP response.

    Parameters
    ----------
    resp : aiohttp.ClientResponse
    bodies : BodyBudget
    """

    lost_message = "connection lost in the stream"

    def __init__(self, resp: aiohttp.ClientResponse, bodies: BodyBudget) -> None:
        self._resp = resp
        self._bodies = bodies

    async def read(self) -> bytes:
        """Read the complete body."""
        return await self._bodies.read(self)

    async def chunk(self) -> bytes:
        """Return the received bytes, waiting for at least one; empty at the end."""
        try:
            return await self._resp.content.readany()
        except EndlessResponseError as exc:
            raise EndlessAnswerError(str(exc)) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise StreamBrokenError(f"{self.lost_message}: {exc!r}") from exc

    def buffered_bytes(self) -> bytes:
        """Return the bytes received since the last `chunk` call, without waiting."""
        content = self._resp.content
        if content.exception() is not None:
            return b""
        return content.read_nowait(-1)

    def abort(self) -> None:
        """Close the connection, which cancels the work at the other side."""
        self._resp.close()
