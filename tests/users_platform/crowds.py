"""A host process with little memory, and crowds of callers that do not behave."""

import asyncio
import fcntl
import os
import socket
import tempfile
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from demo import CONFIG, HOST, KEY, free_ports, settings_text
from users_platform.standins import StandinEndpoint, standin_platform

from radishshift import http_server as web
from tests.soak.fleet import HostProcess

__all__ = [
    "BODY_BYTES",
    "HEADER_BYTES",
    "MAX_FDS",
    "MEMORY_MB",
    "CrowdedHost",
    "crowded_host",
    "request_head",
]

MEMORY_MB = 100
MAX_FDS = 600
BODY_BYTES = 1 << 20
HEADER_BYTES = 16_384
LARGE_ANSWER_BYTES = 200_000
LIMITS = {
    "maxBodyBytes": BODY_BYTES,
    "maxHeaderBytes": HEADER_BYTES,
    "headerTimeoutMs": 2000,
    "idleTimeoutMs": 15_000,
}
ENDPOINTS = (("desk-1", "ring-desk"), ("llm-1", "mkulima-llm"))
READY_TIMEOUT_S = 30.0
SEND_TIMEOUT_S = 4.0  # of one caller of a crowd; the host may have stopped reading
SETTLE_S = 1.0  # after the crowd has sent what it could
ANSWER_TIMEOUT_S = 20.0
RETRY_S = 0.2
FD_POLL_S = 0.02
LOCK_FILE = Path(tempfile.gettempdir()) / "radishshift-crowds.lock"

CrowdCaller = tuple[Sequence[bytes], int]  # what it sends, and how often


class LargeAnswerEndpoint(StandinEndpoint):
    """An endpoint whose answers to lookups are large where the path says so."""

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if not request.raw_path.endswith("/large"):
            return await super()._answer(request)
        headers = {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Replica-Signature": "signed",
        }
        return web.Response(body=bytes(LARGE_ANSWER_BYTES), headers=headers)


def request_head(line: str, *lines: str) -> bytes:
    """Return the head of a proper request with some more lines."""
    base = (f"Host: {HOST}", f"X-Key: {KEY}", "X-Attempt-Id: c1")
    return "\r\n".join((f"{line} HTTP/1.1", *base, *lines, "\r\n")).encode()


@dataclass
class CrowdedHost:
    """A host process that crowds call.

    Attributes
    ----------
    max_open_fds : int
        Most descriptors seen open in the process.
    """

    process: HostProcess
    address: tuple[str, int]
    metrics_port: int
    max_open_fds: int = 0

    @property
    def pid(self) -> int:
        """Return the ID of the process that runs now."""
        return self.process._proc.pid

    @property
    def peak_bytes(self) -> int:
        """Return the peak of the process's resident memory."""
        status = Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return 1024 * int(line.split()[1])

    @asynccontextmanager
    async def crowd(self, callers: Sequence[CrowdCaller]) -> AsyncIterator[None]:
        """Let callers connect and send what they can, and stay open without reading."""
        sockets: list[socket.socket] = []
        counting = asyncio.create_task(self._count_fds())
        try:
            sending = [self._send(sockets, *caller) for caller in callers]
            await asyncio.gather(*sending)
            await asyncio.sleep(SETTLE_S)
            yield
        finally:
            counting.cancel()
            for sock in sockets:
                sock.close()

    async def _send(
        self, sockets: list[socket.socket], parts: Sequence[bytes], repeats: int
    ) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sockets.append(sock)
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await loop.sock_connect(sock, self.address)
                for _ in range(repeats):
                    for part in parts:
                        await loop.sock_sendall(sock, part)
        except (OSError, TimeoutError):
            return  # refused, reset, closed, or read no further

    async def _count_fds(self) -> None:
        while True:
            count = _open_fds(self.pid)
            self.max_open_fds = max(self.max_open_fds, count)
            await asyncio.sleep(FD_POLL_S)

    async def answer(self, method: str, path: str, body: bytes = b"") -> int:
        """Send a request as an ordinary caller does, until it isn't refused."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while True:
                status = await self._ask(method, path, body)
                if status not in (0, 429, 503):
                    return status
                await asyncio.sleep(RETRY_S)

    async def _ask(self, method: str, path: str, body: bytes) -> int:
        headers = {"Host": HOST, "X-Key": KEY, "X-Attempt-Id": "ordinary"}
        url = f"http://{self.address[0]}:{self.address[1]}{path}"
        timeout = aiohttp.ClientTimeout(total=5.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, data=body, headers=headers) as resp,
            ):
                await resp.read()
                return resp.status
        except (aiohttp.ClientError, TimeoutError):
            return 0


def _open_fds(pid: int) -> int:
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except FileNotFoundError:
        return 0


@contextmanager
def _alone() -> Iterator[None]:
    """Let no other process run a crowd meanwhile."""
    with LOCK_FILE.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@asynccontextmanager
async def crowded_host() -> AsyncIterator[CrowdedHost]:
    """Run a host process with little memory before a store and two endpoints."""
    config = {**CONFIG, "limits": LIMITS}
    with _alone(), tempfile.TemporaryDirectory() as folder:
        async with standin_platform(config, ENDPOINTS[1:]) as platform:
            await _add_large_answers(platform)
            settings = Path(folder) / "host.toml"
            ports = free_ports(4)
            limits = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_FDS}\n"
            settings.write_text(settings_text(platform.store_address, ports) + limits)
            process = HostProcess("edge", settings, grace_s=1.0)
            process.start()
            try:
                await _until_ready(ports[1])
                yield CrowdedHost(process, ("127.0.0.1", ports[0]), ports[3])
            finally:
                await process.stop()


async def _add_large_answers(platform) -> None:
    endpoint = LargeAnswerEndpoint("desk-1", gap_s=0.0)
    listener = await asyncio.get_running_loop().create_server(
        endpoint.server(), "127.0.0.1", 0
    )
    platform._stack.callback(listener.close)
    ip, port = listener.sockets[0].getsockname()
    platform.endpoints["desk-1"] = endpoint
    platform.addresses["desk-1"] = f"{ip}:{port}"
    platform.register("desk-1", "ring-desk", slots=64)


async def _until_ready(port: int) -> None:
    url = f"http://127.0.0.1:{port}/-/readyz"
    async with aiohttp.ClientSession() as session, asyncio.timeout(READY_TIMEOUT_S):
        while not await _answers_200(session, url):
            await asyncio.sleep(0.05)


async def _answers_200(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as resp:
            return resp.status == 200
    except aiohttp.ClientError:
        return False
