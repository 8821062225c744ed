"""Hosts as the deploy file starts them, a store, servers and clients on loopback."""

import asyncio
import json
import os
import shlex
import signal
import socket
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web
from users_platform.standins import StandinStore

__all__ = [
    "HOST_HEADER",
    "KEY",
    "Answer",
    "Channel",
    "Host",
    "Record",
    "Server",
    "Store",
    "base_config",
    "route",
    "run_case",
    "trouble",
]

ROOT = Path(__file__).resolve().parent.parent.parent
HOST_HEADER = "ring.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
RESTART_S = 0.3  # until a process that has ended is started again

SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "tz-south"
portRange = [{ports[3]}, {ports[4]}]
seedNodes = {seeds}
bootstrap = true
countsAsLoss = false
discovery = "platform"
entryPoint = "vip"
heartbeatMs = 1200
[zones]
mbeya = "tz-south"
iringa = "tz-south"
njombe = "tz-south"
[listen]
frontend = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
controlPlane = "{ip}:{ports[2]}"
[limits]
cpuQuota = 0.537
cpuCores = 2
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
revertSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.9
budgetWindowS = 10
retrySlack = 52
exposureShare = 0.15
exposureSlack = 30
rollbackMs = 5000
recoverS = 12
passMs = 120
reuseWindowS = 10
sessionS = 5
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


def trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(ip: str, count: int) -> list[int]:
    """Return unused ports of a loopback address."""
    socks = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a config."""
    stream = kind == "streaming"
    return {
        "name": name,
        "host": HOST_HEADER,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 25000 if stream else 1000,
        "sloMs": 3000 if stream else 250,
        "priority": 0,
        "service": service,
        "maxAttempts": {"streaming": 3, "safe": 2, "unsafe": 1}[kind],
        "public": False,
        "sticky": stream,
        "resumable": stream,
        "gapTargetMs": 1200,
        **changes,
    }


def base_config(routes: list[dict[str, Any]], version: int = 7) -> dict[str, Any]:
    """Return a config like that of the pages."""
    names = sorted({each["service"] for each in routes})
    engine = {"slots": 64, "kvCapacity": 455714, "kvTokenBytes": 18432}
    engines = {each["service"] for each in routes if each["type"] == "streaming"}
    services = [
        {"name": name, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1"}
        | ({"engine": {**engine, "models": []}} if name in engines else {})
        for name in names
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


@dataclass
class Record:
    """The lines of `record.txt`."""

    path: Path
    began_at: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        self.lines.append(f"{time.monotonic() - self.began_at:8.3f} {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class Store:
    """The platform's store."""

    def __init__(self) -> None:
        self.store = StandinStore()
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self, config: dict[str, Any]) -> None:
        """Listen, with a config."""
        self._runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        ip, port = site._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"
        self.store.put("config", "main", config)

    def register(self, server: "Server", **changes: Any) -> None:
        """Write the entry of a server."""
        entry = {
            "service": server.service,
            "address": server.address,
            "zone": "mbeya",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": 1,
            "born": server.born,
            **changes,
        }
        self.store.put("servers", server.name, entry)

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()


@dataclass
class Request:
    """A request that a server received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server of the users' platform; `handler` writes the answer to a request."""

    def __init__(self, name: str, service: str, handler: Handler) -> None:
        self.name = name
        self.service = service
        self.handler = handler
        self.ip = "127.0.0.1"
        self.address = ""
        self.born = round(time.time() * 1000)
        self.ran: list[tuple[str, float]] = []  # id, and when it began
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, self.ip, 0)
        ip, port = self._listener.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Stop listening, and end all connections."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (request := await _read_request(reader)) is not None:
                await self._answer(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request: Request, writer) -> None:
        request_id = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expect-replica")
        if not request_id or expected not in (None, self.name):
            status = "421 Misdirected Request" if request_id else "400 Bad Request"
            lines = [f"HTTP/1.1 {status}", f"X-Replica-Id: {self.name}"]
            lines += [f"X-Attempt-Id: {request_id}", "X-Not-Executed: 1"]
            writer.write("\r\n".join([*lines, "Content-Length: 0\r\n\r\n"]).encode())
            return
        self.ran.append((request_id, time.monotonic()))
        await self.handler(request, writer)

    def head(self, request: Request, *lines: str, status: str = "200 OK") -> bytes:
        """Return the head of an answer with the server's signature."""
        request_id = request.headers["x-attempt-id"]
        return "\r\n".join(
            [
                f"HTTP/1.1 {status}",
                f"X-Attempt-Id: {request_id}",
                f"X-Replica-Signature: 3e1b.{self.name}",
                *lines,
                "\r\n",
            ]
        ).encode()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await _read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return b"".join(parts)


class Host:
    """A host, whose process is started again whenever it ends."""

    def __init__(
        self,
        name: str,
        store: str,
        folder: Path,
        zone: str = "mbeya",
        memory_mb: int = 150,
        ip: str = "127.0.0.1",
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.ports = free_ports(ip, 5)
        self.path = folder / f"{name}.toml"
        self._store = store
        self._memory_mb = memory_mb
        self.proc: asyncio.subprocess.Process | None = None
        self.started_at: list[float] = []
        self.ends: list[tuple[float, int]] = []  # when, and the exit code
        self._supervisor: asyncio.Task | None = None
        self._killed_by_test = False

    @property
    def peer_address(self) -> str:
        """Return the address for other hosts."""
        return f"{self.ip}:{self.ports[2]}"

    def start(self, seeds: list[str]) -> None:
        """Write the settings and start the process, as the deploy file says."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            ports=self.ports,
            seeds=json.dumps(seeds),
            memory_mb=self._memory_mb,
            store=self._store,
        )
        self.path.write_text(text, encoding="utf-8")
        self._supervisor = asyncio.create_task(self._supervise())

    async def _supervise(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= role.get("env", {})
        env["RADISHSHIFT_SETTINGS"] = str(self.path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.path.with_suffix(".log").open("ab") as log:
            while True:
                self.proc = await asyncio.create_subprocess_exec(
                    *shlex.split(role["run"]), cwd=ROOT, env=env, stdout=log, stderr=log
                )
                self.started_at.append(time.monotonic())
                code = await self.proc.wait()
                self.ends.append((time.monotonic(), code))
                await asyncio.sleep(RESTART_S)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.proc is not None and self.proc.returncode is None:
            self.proc.send_signal(number)

    async def ready(self) -> bool:
        """Return whether the host says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports[1])
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def until_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until the host is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.ready():
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End the process."""
        if self._supervisor is not None:
            self._supervisor.cancel()
            await asyncio.gather(self._supervisor, return_exceptions=True)
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.proc is not None:
            await self.proc.wait()


@dataclass
class Answer:
    """What a client got; status 0 if the channel ended without an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


class Channel:
    """A channel of a client, which is kept for further requests."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect to the host."""
        self.reader, self.writer = await asyncio.open_connection(
            self._host.ip, self._host.ports[0]
        )

    def send(
        self, method: str, target: str, request_id: str, body: bytes = b"", **headers
    ) -> None:
        """Send a request; `_` in names of headers stands for `-`."""
        base = {"Host": HOST_HEADER, "X-Attempt-Id": request_id, "X-Key": KEY}
        stated = {name.replace("_", "-"): value for name, value in headers.items()}
        if body or method == "POST":
            stated["Content-Length"] = str(len(body))
        lines = [f"{name}: {value}" for name, value in (base | stated).items()]
        head = "\r\n".join([f"{method} {target} HTTP/1.1", *lines, "\r\n"])
        self.writer.write(head.encode("latin-1") + body)

    async def receive(self) -> Answer:
        """Return the next answer."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            return Answer(0)
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            if line:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
        answer = Answer(int(first.split(" ")[1]), headers)
        try:
            if "chunked" in headers.get("transfer-encoding", ""):
                answer.body = await _read_chunks(self.reader)
            else:
                length = int(headers.get("content-length", "0"))
                answer.body = await self.reader.readexactly(length)
            answer.complete = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()


def run_case(folder: Path, case: Callable[[Record], Awaitable[int]]) -> None:
    """Run a case, write `record.txt`, and exit with 1 if a rule was broken."""
    record = Record(folder / "record.txt")

    async def run() -> int:
        # A case that is stopped ends the processes that it has started, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await case(record)

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        record.add(f"the case could not run: {exc!r}")
        code = 2
    words = {0: "the rule held", 1: "the rule was broken", 2: "the case did not run"}
    record.add(words[code])
    record.write()
    print(*record.lines[-2:], sep="\n")
    sys.exit(code)
