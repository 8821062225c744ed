"""Fleets of entry processes on loopback, started and ended by an experiment."""

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

STARTS_AT_ONCE = 3
READY_WITHIN_S = 40.0
POLL_S = 0.05
PEER_KEY = "the-shared-key-of-a-fleet-on-loopback"


@dataclass(slots=True)
class HostProcess:
    """One entry process.

    Attributes
    ----------
    name : str
    process : asyncio.subprocess.Process
    ready : dict
        Addresses that it said it has.
    in_force : list of tuple
        Instants and revisions, as it put them in force.
    """

    name: str
    process: asyncio.subprocess.Process
    ready: asyncio.Future
    in_force: list[tuple[float, int]] = field(default_factory=list)
    counters: asyncio.Queue = field(default_factory=asyncio.Queue)
    reader: asyncio.Task | None = None

    async def read(self) -> None:
        """Take what the process reports until it ends."""
        async for line in self.process.stdout:
            values = msgspec.json.decode(line)
            if "ready" in values:
                self.ready.set_result(values)
            elif "counters" in values:
                self.counters.put_nowait(values["counters"])
            else:
                self.in_force.append((values["at"], values["revision"]))

    async def read_counters(self) -> dict[str, Any]:
        """Return the process' counters."""
        self.process.stdin.write(b"\n")
        await self.process.stdin.drain()
        return await self.counters.get()

    def in_force_at(self, revision: int) -> float:
        """Return the instant at which a revision was in force here, or inf."""
        reached = (at for at, held in self.in_force if held >= revision)
        return min(reached, default=float("inf"))

    async def kill(self) -> None:
        """End the process with no warning."""
        with suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        if self.reader is not None:
            self.reader.cancel()


@dataclass(slots=True)
class Fleet:
    """A platform and the entry processes that follow it."""

    platform: MemoryPlatform
    platform_address: str
    folder: Path
    options: HostOptions
    data_centres: tuple[str, ...]
    heartbeat_s: float
    hosts: dict[str, HostProcess] = field(default_factory=dict)
    _starts: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(STARTS_AT_ONCE)
    )

    async def start(self, number: int) -> HostProcess:
        """Start one more host and put it on the platform's list."""
        data_centre = self.data_centres[number % len(self.data_centres)]
        name = f"{data_centre}-entry-{number}"
        async with self._starts:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "radishshift.experiments.control_host",
                str(self._settings(name, data_centre)),
                msgspec.json.encode(self.options).decode(),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            ready = asyncio.get_running_loop().create_future()
            host = HostProcess(name, process, ready)
            host.reader = asyncio.create_task(host.read())
            self.hosts[name] = host
            values = await asyncio.wait_for(ready, READY_WITHIN_S)
        spec = {
            "dataCentre": data_centre,
            "region": "tz-south",
            "peerAddress": values["peer_address"],
        }
        if self.options.control:
            await self.platform.create(StoredObject(Kind.HOST, name, spec))
        return host

    async def start_many(self, numbers: range) -> None:
        """Start hosts, a few at a time."""
        await asyncio.gather(*(self.start(number) for number in numbers))

    async def remove(self, name: str) -> None:
        """Kill a host and take it from the platform's list."""
        await self.hosts.pop(name).kill()
        held = await self.platform.get(Kind.HOST, name)
        await self.platform.delete(Kind.HOST, name, held.revision)

    async def wait_for_membership(self, within_s: float = READY_WITHIN_S) -> float:
        """Wait until each host knows all others; return the seconds it took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.timeout(within_s):
            while True:
                counters = await self.read_counters()
                wanted = len(self.hosts) - 1
                if all(count["live"] >= wanted for count in counters.values()):
                    return loop.time() - began
                await asyncio.sleep(POLL_S * 10)

    async def read_counters(self) -> dict[str, dict[str, Any]]:
        """Return the counters of all hosts."""
        values = await asyncio.gather(
            *(host.read_counters() for host in self.hosts.values())
        )
        return dict(zip(self.hosts, values, strict=True))

    async def wait_until_in_force(self, revision: int, within_s: float) -> bool:
        """Wait until all hosts have a revision; tell whether they do."""
        try:
            async with asyncio.timeout(within_s):
                while not all(
                    host.in_force_at(revision) < float("inf")
                    for host in self.hosts.values()
                ):
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False
        return True

    def _settings(self, name: str, data_centre: str) -> Path:
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
    """Run a platform in this process and entry hosts in others."""
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
    """Put endpoints on the platform's list."""
    for number in numbers:
        spec = {
            "address": f"http://127.0.0.1:{20_000 + number}",
            "dataCentre": data_centres[number % len(data_centres)],
            "serves": ["farm-advice-small.v1", "farm-advice-large.v1"],
            "slots": 8,
        }
        await platform.create(StoredObject(Kind.ENDPOINT, f"engine-{number}", spec))
