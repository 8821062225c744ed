"""Loopback proxies that delay, silence or reset what passes through them."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

__all__ = ["Link"]

CHUNK_BYTES = 1 << 16


@dataclass
class Link:
    """A way to one address, over which faults are injected.

    Attributes
    ----------
    target : str
        IP:PORT that connections are passed on to.
    address : str
        IP:PORT that the link listens on.
    delay_s : float
        Added to whatever passes, each way.
    silent_there, silent_back : bool
        Whether bytes towards the target, or from it, are held up.
    """

    target: str
    address: str = ""
    delay_s: float = 0.0
    silent_there: bool = False
    silent_back: bool = False
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a port of loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Close the link and all that passes through it."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def heal(self) -> None:
        """Let everything pass again, what was held up too."""
        self.delay_s = 0.0
        self.silent_there = self.silent_back = False

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            _reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        ip, _, port = self.target.rpartition(":")
        far = None
        try:
            far_reader, far = await asyncio.open_connection(ip, int(port))
            self._writers.add(far)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far, there=True))
                group.create_task(self._pump(far_reader, writer, there=False))
        except* OSError:
            # A reset on one side is passed on: an answer without length would look
            # complete after a clean end.
            _reset(writer)
        except* asyncio.CancelledError:
            # The link is stopped.
            writer.transport.abort()
        finally:
            for held in (writer, far):
                if held is not None:
                    self._writers.discard(held)
                    held.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, there: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.silent_there if there else self.silent_back:
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
        if there:
            # A caller that leaves closes both ways.
            raise ConnectionResetError
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the other end sees a reset."""
    sock = writer.transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
