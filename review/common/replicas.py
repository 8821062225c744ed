"""Stand-ins of the replicas: a plain service, or a model that streams events."""

import asyncio
import time
from dataclasses import dataclass, field

from review.common.messages import Message, read_body, read_head, write_message
from review.common.store import HEARTBEAT_S, Store

__all__ = ["Replica", "Run"]

WATCH_S = 0.02  # between looks at whether the other side has left


@dataclass
class Run:
    """A request that a replica began to work on.

    Attributes
    ----------
    ended : str
        `whole` or `broken off`, empty while it goes on.
    """

    replica: str
    attempt_id: str
    request: str
    headers: dict[str, str]
    at: float
    ended: str = ""
    ended_at: float = 0.0


@dataclass
class Replica:
    """One replica, which registers itself in the store and writes heartbeats.

    Attributes
    ----------
    work_s : float
        Time until its answer begins.
    events : int
        Events of a stream.
    gap_s : float
        Pause before each further event.
    pauses : dict of str to tuple
        For attempts that pause once in their stream: the event before which, and the
        seconds.
    leaving : bool
        Whether it says in its answers that it is leaving.
    lose_answers : dict of str to int
        By path: how many next requests it runs and resets in place of an answer.
    late_bytes : bytes
        Bytes that it sends after a complete answer. They come late, at the point where
        the next answer on the channel is expected.
    late_bytes_every : int
        It does so after each so many answers.
    deadly_path : str
        Path of the request that crashes it as it begins to run.
    back_after_s : float
        Time from a crash until it is back, under another name.
    """

    name: str
    service: str
    store: Store
    zone: str = "mbeya"
    work_s: float = 0.03
    events: int = 0
    gap_s: float = 0.05
    pauses: dict[str, tuple[int, float]] = field(default_factory=dict)
    leaving: bool = False
    lose_answers: dict[str, int] = field(default_factory=dict)
    late_bytes: bytes = b""
    late_bytes_every: int = 0
    deadly_path: str = ""
    back_after_s: float = 3.0
    address: str = ""
    runs: list[Run] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)
    answers: int = 0
    late_bytes_sent: int = 0
    born: int = 0
    _server: asyncio.Server | None = None
    _beats: asyncio.Task | None = None
    _seq_no: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _restart: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen on a free loopback port, and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.born = int(time.time() * 1000)
        self.register()
        self._beats = asyncio.create_task(self._keep_registered())

    def register(self) -> None:
        """Write the entry to the store, unless that is away.

        The store changes an entry only when more than its `seqNo` changes.
        """
        if self.store.away:
            return
        self._seq_no += 1
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "draining" if self.leaving else "ready",
            "coldLeftMs": 0,
            "seqNo": self._seq_no,
            "born": self.born,
        }
        self.store.beat(self.name, spec)

    async def _keep_registered(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def crash(self) -> None:
        """Reset all connections, stop listening, and send no more heartbeats."""
        if not self._server.is_serving():
            return
        self.crashed_at.append(time.time())
        self._server.close()
        self._beats.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._restart = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        """Start again under another name; the old entry lapses by itself."""
        old_name = self.name
        await asyncio.sleep(self.back_after_s)
        number = int(old_name.partition(".")[2] or 0) + 1
        self.name = f"{old_name.partition('.')[0]}.{number}"
        self._seq_no = 0
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            late_bytes = b""
            while head := await read_head(reader):
                await read_body(reader, head)
                writer.write(late_bytes)
                self.late_bytes_sent += bool(late_bytes)
                await self._answer(head, reader, writer)
                self.answers += 1
                every = self.late_bytes_every
                spoils = every and self.answers % every == 0
                late_bytes = self.late_bytes if spoils else b""
        except (ConnectionError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        head: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        headers = {"X-Attempt-Id": head.headers.get("x-attempt-id", "")}
        if self.leaving:
            headers["Server-Leaving"] = "1"
        expected = head.headers.get("x-expect-replica", self.name)
        if expected != self.name:
            await write_message(writer, "HTTP/1.1 421 Misdirected Request", headers)
            return
        headers["X-Replica-Signature"] = f"signed.{self.name}"
        request = " ".join(head.words[:2])
        run = Run(
            self.name, headers["X-Attempt-Id"], request, head.headers, time.time()
        )
        self.runs.append(run)
        try:
            if head.words[1] == self.deadly_path:
                run.ended = "crashed the replica"
                self.crash()
                raise ConnectionError("the replica has crashed")
            await self._work(self.work_s, reader)
            if self.lose_answers.get(head.words[1], 0):
                self.lose_answers[head.words[1]] -= 1
                run.ended = "answer lost"
                writer.transport.abort()
                raise ConnectionError("the answer is lost")
            if "x-token-usage" in head.headers:
                await self._stream(run, headers, reader, writer)
            else:
                body = f"done {run.attempt_id}".encode()
                await write_message(writer, "HTTP/1.1 200 OK", headers, body)
            run.ended = "whole"
        finally:
            run.ended = run.ended or "broken off"
            run.ended_at = time.time()

    async def _work(self, time_s: float, reader: asyncio.StreamReader) -> None:
        """Work for a time; a replica drops a request when its channel closes."""
        ends_at = time.monotonic() + time_s
        while (left_s := ends_at - time.monotonic()) > 0:
            await asyncio.sleep(min(WATCH_S, left_s))
            if reader.at_eof():
                raise ConnectionError("the other side has left")

    async def _stream(
        self,
        run: Run,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await write_message(writer, "HTTP/1.1 200 OK", headers, None)
        first = int(run.headers.get("last-event-id") or 0) + 1
        pause_at, pause_s = self.pauses.get(run.attempt_id, (0, 0.0))
        for number in range(first, self.events + 1):
            if number > first:
                await self._work(self.gap_s, reader)
            if number == pause_at:
                await self._work(pause_s, reader)
            data = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
