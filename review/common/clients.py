"""Stand-ins of the clients: one request each, on a channel of its own or a kept one."""

import asyncio
import time
from dataclasses import dataclass, field

from review.common.messages import read_body, read_chunks, read_head, write_message

__all__ = ["Channel", "Reply", "send"]


@dataclass
class Reply:
    """What a client saw of its request.

    Attributes
    ----------
    status : int
        0 if no head came.
    complete : bool
        Whether the answer came to its end.
    error : str
        How it ended otherwise.
    """

    attempt_id: str
    host: str
    status: int = 0
    body: bytes = b""
    complete: bool = False
    error: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    sent_at: float = 0.0
    ended_at: float = 0.0

    def line(self) -> str:
        """Return a line for the record."""
        end = "complete" if self.complete else f"not complete ({self.error})"
        took_s = self.ended_at - self.sent_at
        return (
            f"{self.sent_at:.3f} {self.attempt_id} to {self.host}: status {self.status}"
            f", {len(self.body)} bytes, {end}, after {took_s:.3f} s"
        )


class Channel:
    """A channel to a host, which may be kept for several requests."""

    def __init__(self, host: str, address: str) -> None:
        self.host = host
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        attempt_id: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> Reply:
        """Send a request, and return what came of it."""
        reply = Reply(attempt_id, self.host, sent_at=time.time())
        wait_s = float(headers["X-Deadline-Ms"]) / 1000 + 1.0
        try:
            async with asyncio.timeout(wait_s):
                await self._exchange(reply, method, path, headers, body)
        except (OSError, EOFError, TimeoutError) as exc:
            reply.error = repr(exc)
            self.close()
        reply.ended_at = time.time()
        return reply

    async def _exchange(
        self,
        reply: Reply,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if self._writer is None:
            ip, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(ip, int(port))
        headers = {**headers, "X-Attempt-Id": reply.attempt_id}
        await write_message(self._writer, f"{method} {path} HTTP/1.1", headers, body)
        head = await read_head(self._reader)
        if head is None:
            raise EOFError("the channel ended without an answer")
        reply.status = int(head.words[1])
        reply.headers = head.headers
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            async for data in read_chunks(self._reader):
                reply.body += data
        else:
            reply.body = await read_body(self._reader, head)
        reply.complete = True
        if head.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def send(host: str, address: str, *args, **kwargs) -> Reply:
    """Send one request on a channel of its own."""
    channel = Channel(host, address)
    try:
        return await channel.request(*args, **kwargs)
    finally:
        channel.close()
