"""Fleets of entry host processes on loopback, for experiments."""

import asyncio
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from radishshift.experiments.control_host import HostOptions
from radishshift.listening import listening
from radishshift.objects import Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.standins.deployment import small_catalogue
from radishshift.standins.platform import make_platform_app

__all__ = ["Fleet", "HostProcess", "add_endpoints", "running_fleet"]

MAX_CONCURRENT_STARTS = 3
READY_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05
PEER_KEY = "the-shared-key-of-a-fleet-on-loopback"


@dataclass(slots=True)
class HostProcess:
    """One entry host process.

    Attributes
    ----------
    name : str
    process : asyncio.subprocess.Process
    ready : asyncio.Future
        Addresses that the process reports when it is ready.
    in_force : list of tuple
        Unix time and revision of each catalogue that the process reported in force.
    counters : asyncio.Queue
        Counters that the process reported on request.
    reader_task : asyncio.Task or None
        Reads the output of the process.
    """

    name: str
    process: asyncio.subprocess.Process
    ready: asyncio.Future
    in_force: list[tuple[float, int]] = field(default_factory=list)
    counters: asyncio.Queue = field(default_factory=asyncio.Queue)
    reader_task: asyncio.Task | None = None

    async def read_output(self) -> None:
        """Process the reports of the process until it ends."""
        async for line in self.process.stdout:
            values = msgspec.json.decode(line)
            if "ready" in values:
                self.ready.set_result(values)
            elif "counters" in values:
                self.counters.put_nowait(values["counters"])
            else:
                self.in_force.append((values["at"], values["revision"]))

    async def read_counters(self) -> dict[str, Any]:
        """Request and return the counters of the process."""
        self.process.stdin.write(b"\n")
        await self.process.stdin.drain()
        return await self.counters.get()

    def first_in_force_at(self, revision: int) -> float:
        """Return when a revision or a later one was first in force, or infinity."""
        instants = (
            at for at, applied_revision in self.in_force if applied_revision >= revision
        )
        return min(instants, default=float("inf"))

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        with suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        if self.reader_task is not None:
            self.reader_task.cancel()


@dataclass(slots=True)
class Fleet:
    """A platform and the entry host processes that use it."""

    platform: MemoryPlatform
    platform_address: str
    folder: Path
    options: HostOptions
    data_centres: tuple[str, ...]
    heartbeat_s: float
    hosts: dict[str, HostProcess] = field(default_factory=dict)
    _start_slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_STARTS)
    )

    async def start(self, number: int) -> HostProcess:
        """Start a host and register it on the platform."""
        data_centre = self.data_centres[number % len(self.data_centres)]
        name = f"{data_centre}-entry-{number}"
        async with self._start_slots:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "radishshift.experiments.control_host",
                str(self._write_settings(name, data_centre)),
                msgspec.json.encode(self.options).decode(),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            ready = asyncio.get_running_loop().create_future()
            host = HostProcess(name, process, ready)
            host.reader_task = asyncio.create_task(host.read_output())
            self.hosts[name] = host
            values = await asyncio.wait_for(ready, READY_TIMEOUT_S)
        spec = {
            "dataCentre": data_centre,
            "region": "tz-south",
            "peerAddress": values["peer_address"],
        }
        if self.options.control:
            await self.platform.create(StoredObject(Kind.HOST, name, spec))
        return host

    async def start_many(self, numbers: range) -> None:
        """Start hosts, at most `MAX_CONCURRENT_STARTS` at a time."""
        await asyncio.gather(*(self.start(number) for number in numbers))

    async def remove(self, name: str) -> None:
        """Kill a host and delete it from the platform."""
        await self.hosts.pop(name).kill()
        stored = await self.platform.get(Kind.HOST, name)
        await self.platform.delete(Kind.HOST, name, stored.revision)

    async def wait_for_membership(self, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait until each host lists all others as live; return the seconds it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.timeout(timeout_s):
            while True:
                counters = await self.read_counters()
                expected_live = len(self.hosts) - 1
                if all(count["live"] >= expected_live for count in counters.values()):
                    return loop.time() - started_at
                await asyncio.sleep(POLL_INTERVAL_S * 10)

    async def read_counters(self) -> dict[str, dict[str, Any]]:
        """Request and return the counters of all hosts, by name."""
        values = await asyncio.gather(
            *(host.read_counters() for host in self.hosts.values())
        )
        return dict(zip(self.hosts, values, strict=True))

    async def wait_until_in_force(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision or a later one is in force at all hosts.

        Return False on timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not all(
                    host.first_in_force_at(revision) < float("inf")
                    for host in self.hosts.values()
                ):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    def _write_settings(self, name: str, data_centre: str) -> Path:
        seeds = [
            host.ready.result()["peer_address"]
            for host in self.hosts.values()
            if host.ready.done()
        ]
        values = {
            "name": name,
            "dataCentre": data_centre,
            "region": "tz-south",
            "platform": {"address": self.platform_address},
            "address": {"callerPort": 0, "peerPort": 0, "metricsPort": 0},
            "peers": {
                "keyFile": str(self.folder / "peer-keys"),
                "heartbeatS": self.heartbeat_s,
                "seeds": seeds[:1],
            },
        }
        if not self.options.control:
            del values["peers"]
        path = self.folder / f"{name}.jsonc"
        path.write_bytes(msgspec.json.encode(values))
        return path


@asynccontextmanager
async def running_fleet(
    size: int,
    options: HostOptions,
    data_centres: tuple[str, ...] = ("mbeya", "iringa", "njombe"),
    heartbeat_s: float = 2.0,
    endpoints: int = 9,
) -> AsyncIterator[Fleet]:
    """Run a platform in this process and entry hosts as subprocesses."""
    platform = MemoryPlatform()
    app = make_platform_app(platform)
    with tempfile.TemporaryDirectory() as folder:
        _write_key(Path(folder))
        async with listening(app, shutdown_timeout=0.1) as address:
            for name, spec in small_catalogue().items():
                await platform.create(StoredObject(Kind.ENTRY, name, spec))
            await add_endpoints(platform, range(endpoints), data_centres)
            fleet = Fleet(
                platform, address, Path(folder), options, data_centres, heartbeat_s
            )
            try:
                await fleet.start(0)
                await fleet.start_many(range(1, size))
                yield fleet
            finally:
                await asyncio.gather(*(host.kill() for host in fleet.hosts.values()))


def _write_key(folder: Path) -> None:
    (folder / "peer-keys").write_text(PEER_KEY, encoding="utf-8")


async def add_endpoints(
    platform: MemoryPlatform, numbers: range, data_centres: tuple[str, ...]
) -> None:
    """Register endpoints on the platform."""
    for number in numbers:
        spec = {
            "address": f"http://127.0.0.1:{20_000 + number}",
            "dataCentre": data_centres[number % len(data_centres)],
            "serves": ["farm-advice-small.v1", "farm-advice-large.v1"],
            "slots": 8,
        }
        await platform.create(StoredObject(Kind.ENDPOINT, f"engine-{number}", spec))
