"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio
import contextlib
from dataclasses import dataclass

__all__ = ["Message", "read_body", "read_chunks", "read_head", "write_message"]

MAX_LINE_BYTES = 1 << 16


@dataclass
class Message:
    """Start line and headers of a request or an answer; names in lower case."""

    start: str
    headers: dict[str, str]

    @property
    def words(self) -> list[str]:
        """Return the three words of the start line."""
        return [*self.start.split(" ", 2), "", ""][:3]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, or None where the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a chunked body; an early end raises `EOFError`."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError("the body ended early")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Return a complete body; an early end raises `EOFError`."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([data async for data in read_chunks(reader)])
    size = int(head.headers.get("content-length", "0"))
    return await reader.readexactly(size) if size else b""


async def write_message(
    writer: asyncio.StreamWriter,
    start: str,
    headers: dict[str, str],
    body: bytes | None = b"",
) -> None:
    """Write a head and, unless it is None, a body with its length."""
    if body is not None:
        headers = {**headers, "Content-Length": str(len(body))}
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b""))
    with contextlib.suppress(ConnectionError):
        await writer.drain()
