"""A small deployment on loopback: store, replicas, hosts and clients.

Only the standard library is used. The stand-ins speak what PROTOCOL.md says; the hosts
are started by the commands of the deploy file.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HOST_NAME = "ring.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ZONES = ("mbeya", "iringa", "njombe")
START_S = 40.0  # longest time until all hosts are ready
RESTART_S = 0.3  # from the end of a process to its next start
MAX_HISTORY = 20_000
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 503: "Busy"}

Headers = dict[str, str]


def trouble() -> bool:
    """Return whether the run is to have its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclass
class Request:
    """A request as a stand-in read it."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""

    @property
    def attempt(self) -> str:
        """Return the id of the consumer's attempt."""
        return self.headers.get("x-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Return the first line and the headers, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def head(status: int, headers: Headers) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(status: int, body: bytes, headers: Headers | None = None) -> bytes:
    """Return a whole answer."""
    return head(status, (headers or {}) | {"Content-Length": str(len(body))}) + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the other side sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
            )
    writer.transport.abort()


class Server:
    """An HTTP/1.1 server that serves one request at a time on a connection."""

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self._ip = ip
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen, at the same address as before if there was one."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._server = await asyncio.start_server(
            self._serve, self._ip, port, backlog=512
        )
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        self._server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (got := await read_head(reader)) is not None:
                first, headers = got
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers)
                if not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: lists, watches and conditional writes."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.era: int | None = None
        self.objects: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.floor = 0  # history from this revision on is known
        self.delay_s = 0.004
        self.writes: list[tuple[float, str, str, int]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec, status=None) -> int:
        """Write an object as the operator or a replica does."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known["metadata"]["created"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        entry = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind][name] = entry
        self._publish(kind, entry, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        entry = self.objects[kind].pop(name)
        self.revision += 1
        metadata = entry["metadata"] | {"revision": self.revision}
        self._publish(kind, entry | {"metadata": metadata}, True)

    def _publish(self, kind: str, entry: dict, removed: bool) -> None:
        self.history.append((self.revision, kind, entry, removed))
        if len(self.history) > MAX_HISTORY:
            self.floor = self.history[0][0]
            del self.history[0]
        self.wake()

    def wake(self) -> None:
        """Let the watches look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request, reader, writer) -> bool:
        """Answer a call."""
        body = await read_body(reader, request.headers)
        await asyncio.sleep(self.delay_s)
        status, data = await self._call(request, body)
        headers = {"Content-Type": "application/json"}
        if self.era is not None:
            headers["Store-Era"] = str(self.era)
        writer.write(answer(status, json.dumps(data).encode(), headers))
        return True

    async def _call(self, request: Request, body: bytes) -> tuple[int, object]:
        path, _, query_text = request.target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query_text.split("&") if pair)
        kind, *rest = path.removeprefix("/-/objects/").split("/")
        objects = self.objects.setdefault(kind, {})
        if request.method == "GET" and not rest:
            if "watch" in query:
                return await self._watch(kind, query)
            names = sorted(name for name in objects if name > query.get("after", ""))
            page = [objects[name] for name in names[:500]]
            more = len(names) > 500
            return 200, {"entries": page, "more": more, "asOf": self.revision}
        sent = json.loads(body) if body else {}
        name = rest[0] if rest else sent["metadata"]["name"]
        known = objects.get(name)
        if request.method == "GET":
            return (200, known) if known else (404, {})
        if request.method == "POST":
            if known:
                return 409, known
            self.put(kind, name, sent.get("spec"), sent.get("status"))
            self.writes.append((time.monotonic(), kind, name, self.revision))
            return 200, objects[name]
        if not known:
            return 404, {}
        condition = sent.get("metadata", {}).get("revision", query.get("revision"))
        if condition is not None and int(condition) != known["metadata"]["revision"]:
            return 409, known
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if rest[1:] == ["status"]:
            self.put(kind, name, known["spec"], sent.get("status"))
        else:
            self.put(kind, name, sent.get("spec"), known["status"])
        self.writes.append((time.monotonic(), kind, name, self.revision))
        return 200, objects[name]

    async def _watch(self, kind: str, query: dict) -> tuple[int, object]:
        since = int(query["watch"])
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if since < self.floor or since > self.revision:
                return 410, {}
            events = [
                {"object": entry, "removed": removed}
                for revision, of, entry, removed in self.history
                if revision > since and of == kind
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


Work = Callable[
    ["Replica", Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


class Replica(Server):
    """A replica that records what reaches it, and answers by `work`."""

    def __init__(self, name: str, service: str, zone: str, work: Work) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.version = "v1"
        self.slots = 64
        self.work = work
        self.beats = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.arrived: list[tuple[float, Request]] = []

    def entry(self) -> dict:
        """Return what the replica writes to the store."""
        self.beats += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seqNo": self.beats,
            "born": self.born,
        }

    async def handle(self, request, reader, writer) -> bool:
        """Run a request, unless it expects another replica."""
        expected = request.headers.get("x-expect-replica", self.name)
        self.arrived.append((time.monotonic(), request))
        if expected != self.name:
            request.body = await read_body(reader, request.headers)
            echo = {"X-Attempt-Id": request.attempt, "X-Replica-Id": self.name}
            writer.write(answer(421, b"", echo))
            return True
        return await self.work(self, request, reader, writer)

    def echo(self, request: Request) -> Headers:
        """Return the headers of a sound answer."""
        return {
            "X-Attempt-Id": request.attempt,
            "X-Replica-Signature": f"sig.{self.name}.{request.attempt}",
        }


async def plain_work(replica, request, reader, writer) -> bool:
    """Answer at once with 800 bytes."""
    request.body = await read_body(reader, request.headers)
    await asyncio.sleep(0.03)
    writer.write(answer(200, b"a" * 800, replica.echo(request)))
    return True


async def send_events(replica, request, writer, count: int, gap_s: float) -> bool:
    """Answer with a stream of events."""
    first = int(request.headers.get("last-event-id") or 0) + 1
    headers = replica.echo(request) | {
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    writer.write(head(200, headers))
    for number in range(first, count + 1):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(gap_s)
    writer.write(b"0\r\n\r\n")
    return True


async def stream_work(replica, request, reader, writer) -> bool:
    """Answer with 20 events in two seconds."""
    request.body = await read_body(reader, request.headers)
    await asyncio.sleep(0.1)
    return await send_events(replica, request, writer, 20, 0.1)


@dataclass
class Host:
    """A host process, which is restarted whenever it ends."""

    name: str
    ip: str
    zone: str
    ports: tuple[int, int, int, int]
    folder: Path
    proc: asyncio.subprocess.Process | None = None
    exits: list[tuple[float, int]] = field(default_factory=list)
    starts: list[float] = field(default_factory=list)
    restarts: bool = True
    collector: "Collector | None" = None
    _task: asyncio.Task | None = None

    @property
    def frontend(self) -> str:
        """Return the address for callers."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def ready(self) -> str:
        """Return the address of the readiness checks."""
        return f"{self.ip}:{self.ports[1]}"

    @property
    def control(self) -> str:
        """Return the address for peers."""
        return f"{self.ip}:{self.ports[2]}"

    @property
    def settings(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / f"{self.name}.toml"

    @property
    def log(self) -> str:
        """Return what the process has logged."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def start(self) -> None:
        """Start the process and keep it running."""
        self._task = asyncio.create_task(self._supervise())

    async def _supervise(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= role.get("env", {})
        env["RADISHSHIFT_SETTINGS"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        while True:
            with (self.folder / f"{self.name}.log").open("ab") as log:
                out, err = (log, log)
                if self.collector is not None:
                    out, err = self.collector.open_pipes()
                self.proc = await asyncio.create_subprocess_exec(
                    *role["run"].split(), cwd=ROOT, env=env, stdout=out, stderr=err
                )
                if self.collector is not None:
                    os.close(out)
                    os.close(err)
            self.starts.append(time.monotonic())
            code = await self.proc.wait()
            self.exits.append((time.monotonic(), code))
            if not self.restarts:
                return
            await asyncio.sleep(RESTART_S)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.proc is not None and self.proc.returncode is None:
            self.proc.send_signal(number)

    def memory_mb(self) -> float:
        """Return the memory that the process itself has taken, in MB."""
        if self.proc is None or self.proc.returncode is not None:
            return 0.0
        with suppress(OSError):
            for line in Path(f"/proc/{self.proc.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def stop(self) -> None:
        """Kill the process without a restart."""
        self.restarts = False
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self.proc is not None and self.proc.returncode is None:
            self.proc.send_signal(signal.SIGCONT)
            self.proc.kill()
            await self.proc.wait()


class Collector:
    """Collects what a process writes, over one pipe for each of its two outputs."""

    def __init__(self) -> None:
        self.reads = True
        self.collected = {"stdout": 0, "stderr": 0}
        self.text = b""
        self._pipes: list[tuple[int, str]] = []

    def open_pipes(self) -> tuple[int, int]:
        """Return the ends for a process's standard output and standard error."""
        ends = []
        for name in ("stdout", "stderr"):
            reading, writing = os.pipe()
            os.set_blocking(reading, False)
            self._pipes.append((reading, name))
            ends.append(writing)
        return ends[0], ends[1]

    async def run(self) -> None:
        """Read all pipes every few milliseconds, unless the collector is stalled."""
        while True:
            await asyncio.sleep(0.02)
            for reading, name in self._pipes if self.reads else ():
                with suppress(BlockingIOError):
                    while data := os.read(reading, 1 << 16):
                        self.collected[name] += len(data)
                        self.text = (self.text + data)[-(1 << 20) :]

    def close(self) -> None:
        """Close the pipes."""
        for reading, _ in self._pipes:
            os.close(reading)


def free_port(ip: str) -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 25000,
        "sloMs": 3000,
        "priority": 1,
        "service": service,
        "maxAttempts": 3,
        "public": False,
        **changes,
    }


class World:
    """The store, replicas and hosts of one run; all end with it."""

    def __init__(self, hosts: int = 3, memory_mb: int = 150, bounds: str = "") -> None:
        self.store = Store()
        self.replicas: list[Replica] = []
        self.hosts: list[Host] = []
        self.version = 7
        self.routes = [
            route("plan", "streaming", "mkulima-llm", resumable=True),
            route("draft", "streaming", "mkulima-llm"),
            route("book", "unsafe", "ring-desk", sloMs=250, timeoutMs=5000),
            route("check", "safe", "ring-desk", sloMs=250, timeoutMs=5000),
        ]
        self.config_changes: dict = {}
        self.services: list[dict] = [{"name": "mkulima-llm"}, {"name": "ring-desk"}]
        self.memory_mb = memory_mb
        self.bounds = bounds
        self.count = hosts
        self.replica_class = Replica
        self.collectors: list[Collector] = []  # of the hosts' logs, else files
        self.lines: list[str] = []
        self.began = time.monotonic()
        self._tasks: list[asyncio.Task] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def put_config(self) -> None:
        """Write the configuration as the operator does."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("config", "main", config | self.config_changes)

    async def add_replica(
        self, name: str, service: str, zone: str, work: Work, **attributes
    ) -> Replica:
        """Start a replica, which registers itself and beats."""
        replica = self.replica_class(name, service, zone, work)
        for key, value in attributes.items():
            setattr(replica, key, value)
        await replica.start()
        self.replicas.append(replica)
        self.store.put("servers", name, replica.entry())
        self._tasks.append(asyncio.create_task(self._beat(replica)))
        return replica

    async def _beat(self, replica: Replica) -> None:
        while True:
            await asyncio.sleep(1.2)
            if replica.state == "gone":
                return
            known = self.store.objects.get("servers", {}).get(replica.name)
            entry = replica.entry()
            # The entry changes when more than `seqNo` changes.
            if known and known["spec"] | {"seqNo": entry["seqNo"]} != entry:
                self.store.put("servers", replica.name, entry)

    async def start(self) -> None:
        """Start the store and the hosts; return once all are ready."""
        await self.store.start()
        self.put_config()
        base = 10 + os.getpid() % 200
        ips = [f"127.77.{base}.{1 + number}" for number in range(self.count)]
        ports = tuple(free_port(ips[0]) for _ in range(4))
        folder = Path(self._folder.name)
        for number, ip in enumerate(ips):
            zone = ZONES[number % len(ZONES)]
            self.hosts.append(Host(f"edge-{zone}-{number}", ip, zone, ports, folder))
        seeds = [host.control for host in self.hosts[:3]]
        for number, host in enumerate(self.hosts):
            if self.collectors:
                host.collector = self.collectors[number]
            host.settings.write_text(self.settings_of(host, seeds))
            host.start()
        await self.until_ready()

    def settings_of(self, host: Host, seeds: list[str]) -> str:
        """Return the text of a host's settings file."""
        return f"""
nodeName = "{host.name}"
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{host.ip}"
zone = "{host.zone}"
region = "tz-south"
portRange = [{host.ports[3]},{host.ports[3]}]
seedNodes = {json.dumps(seeds)}
bootstrap = true
discovery = "platform"
entryPoint = "vip"
heartbeatMs = 1200
[zones]
mbeya = "tz-south"
iringa = "tz-south"
njombe = "tz-south"
[listen]
frontend = "{host.frontend}"
ready = "{host.ready}"
controlPlane = "{host.control}"
[limits]
cpuQuota = 0.537
cpuCores = 2
memoryMb = {self.memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
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
retryRatio = 0.9
budgetWindowS = 10
retrySlack = 52
exposureShare = 0.15
exposureSlack = 30
rollbackMs = 5000
recoverS = 12
passMs = 120
sessionS = 5
{self.bounds}
[platform]
address = "{self.store.address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""

    async def until_ready(self) -> None:
        """Wait until every host says that it is ready."""
        ends_at = time.monotonic() + START_S
        for host in self.hosts:
            while not await is_ready(host):
                if time.monotonic() > ends_at:
                    raise TimeoutError(f"{host.name} is not ready:\n{host.log[-2000:]}")
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End all processes, and the stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(host.stop() for host in self.hosts))
        for server in (self.store, *self.replicas):
            with suppress(Exception):
                server.close()
        self._folder.cleanup()


async def is_ready(host: Host) -> bool:
    """Return whether a host answers the readiness check with 200."""
    try:
        got = await call(host.ready, "GET", "/-/readyz", timeout_s=1.0)
    except (OSError, TimeoutError):
        return False
    return got.status == 200


@dataclass
class Got:
    """What a client got; status 0 for a channel that ended without an answer."""

    status: int
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


_attempts = 0


def new_attempt() -> str:
    """Return the id of a new attempt."""
    global _attempts
    _attempts += 1
    return f"{os.getpid():08x}{_attempts:08x}"


def request_bytes(
    method: str, target: str, headers: Headers | None = None, body: bytes = b""
) -> bytes:
    """Return a request of a client of the deployment."""
    fields = {"Host": HOST_NAME, "X-Key": KEY, "X-Deadline-Ms": "25000"}
    fields |= headers or {}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader: asyncio.StreamReader) -> Got:
    """Return the next answer on a connection."""
    got = await read_head(reader)
    if got is None:
        return Got(0)
    first, headers = got
    result = Got(int(first.split(" ")[1]), headers)
    parts = []
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    break
                part = await reader.readexactly(int(line, 16) + 2)
                if len(part) == 2:
                    result.complete = True
                    break
                parts.append(part[:-2])
        else:
            size = int(headers.get("content-length", "0"))
            parts.append(await reader.readexactly(size))
            result.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    result.body = b"".join(parts)
    return result


async def call(
    address: str,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Got:
    """Send one request over a new connection and return its answer."""
    ip, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(request_bytes(method, target, headers, body))
            return await read_answer(reader)
        finally:
            writer.close()


def run_case(main: Callable[[World], Awaitable[bool]], world: World, folder: Path):
    """Run a case, write its record and end with its verdict: 1 if the rule broke."""

    async def run() -> int:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                broken = await main(world)
            verdict = 1 if broken else 0
        except (Exception, asyncio.CancelledError) as exc:
            world.note(f"the case could not run: {exc!r}")
            verdict = 2
        finally:
            with suppress(Exception):
                await world.close()
        world.note(f"exit {verdict}")
        return verdict

    try:
        verdict = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        world.note(f"the case could not run: {exc!r}")
        verdict = 2
    (folder / "record.txt").write_text("\n".join(world.lines) + "\n")
    print("\n".join(world.lines[-25:]))
    sys.exit(verdict)
