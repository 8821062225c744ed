"""Endpoints that answer each request with given bytes, and then end the connection."""

import asyncio
import enum
import socket
import struct
from contextlib import asynccontextmanager

__all__ = ["Ending", "RawEndpoint"]


class Ending(enum.Enum):
    """What an endpoint does with its connection after an answer."""

    CLOSE = enum.auto()
    RESET = enum.auto()
    KEEP = enum.auto()


class RawEndpoint:
    """Answers each request with the same bytes.

    Parameters
    ----------
    answer : bytes or callable
        The bytes, or a function that returns them for the head of a request.
    ending : Ending
    reads_body : bool
        Whether it reads the body, which must have a length, before it answers.

    Attributes
    ----------
    address : str
        IP:PORT.
    heads : list of bytes
        Heads of the requests, in their order.
    """

    def __init__(self, answer, ending=Ending.KEEP, reads_body=True):
        self.address = ""
        self.heads = []
        self._answer = answer if callable(answer) else lambda head: answer
        self._ending = ending
        self._reads_body = reads_body
        self._serving = set()

    @asynccontextmanager
    async def listening(self):
        """Serve for as long as the context lasts."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        try:
            yield self
        finally:
            server.close()
            for task in self._serving:
                task.cancel()
            await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._serving.add(asyncio.current_task())
        try:
            while await self._answer_next(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer_next(self, reader, writer):
        """Answer a request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        if self._reads_body:
            await reader.readexactly(_body_length(head))
        writer.write(self._answer(head))
        if self._ending is Ending.KEEP:
            return True
        if self._ending is Ending.RESET:
            _reset(writer.transport)
        return False


def _body_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def _reset(transport):
    """Close a connection with a TCP reset."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
