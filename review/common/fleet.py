"""Starts hosts with the commands of the deploy file, and runs a case around them."""

import asyncio
import contextlib
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common.clients import Channel, Reply, send
from review.common.replicas import Replica
from review.common.store import Store

__all__ = [
    "CONTACT_S",
    "HOST_HEADER",
    "ZONES",
    "BrokenError",
    "Fleet",
    "Host",
    "UnableError",
    "run_case",
]

ROOT = Path(__file__).resolve().parent.parent.parent
READY_PATH = "/-/readyz"
HOST_HEADER = "ring.example"
CONTACT_S = 3.0
GRACE_S = 8.0
START_S = 25.0  # within which the hosts have to be ready
LIMIT_S = 116.0  # of a case
ZONES = ("mbeya", "iringa", "njombe")


class BrokenError(Exception):
    """The rule was broken; the text says how."""


class UnableError(Exception):
    """The case couldn't be run."""


class Host:
    """One process of the deploy file's role, on a loopback address of its own."""

    def __init__(self, name: str, ip: str, zone: str, settings: Path) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.settings = settings
        self.ports: list[int] = []
        self._proc: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        """Return the address for clients."""
        return f"{self.ip}:{self.ports[0]}"

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= role.get("env", {})
        env |= {
            "RADISHSHIFT_SETTINGS": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.settings.with_suffix(".log").open("ab") as log:
            self._proc = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self._proc.send_signal(number)

    async def ended(self) -> int:
        """Wait for the end of the process, and return its exit code."""
        return await self._proc.wait()

    async def kill(self) -> None:
        """Kill the process, and wait until it has ended."""
        if self._proc is not None and self._proc.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self._proc.wait()

    async def ready(self) -> bool:
        """Ask the readiness of the host as the platform does."""
        headers = {"Host": self.ip, "X-Deadline-Ms": "500"}
        address = f"{self.ip}:{self.ports[1]}"
        reply = await send(self.name, address, "ready", "GET", READY_PATH, headers)
        return reply.status == 200


class Fleet:
    """A store, replicas and hosts, with the record of a case.

    Attributes
    ----------
    trouble : bool
        Whether the case is to bring its disruption.
    """

    def __init__(self, folder: Path, record: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.replicas: dict[str, Replica] = {}
        self.hosts: list[Host] = []
        self.replies: list[Reply] = []
        self._folder = folder
        self._record = record
        self._count = 0
        record.write_text("")

    def note(self, text: str) -> None:
        """Add a line to the record, with the time."""
        with self._record.open("a") as file:
            file.write(f"{time.time():.3f} {text}\n")

    def check(self, holds: bool, text: str) -> None:
        """Raise `UnableError` unless what the case needs holds."""
        if not holds:
            raise UnableError(text)

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start()

    async def add_replica(self, name: str, service: str, **values) -> Replica:
        """Start a replica, which registers itself."""
        replica = Replica(name, service, self.store, **values)
        await replica.start()
        self.replicas[name] = replica
        self.note(f"replica {name} of {service} registered")
        return replica

    def configure(self, config: dict) -> int:
        """Write a configuration as the operator; return the revision."""
        revision = self.store.put("config", "main", config)
        self.note(
            f"config version {config['version']} acknowledged at revision {revision}"
        )
        return revision

    async def start_hosts(self, count: int, bounds: str = "") -> None:
        """Start hosts on loopback addresses, and wait until all are ready."""
        network = _network()
        ports = _free_ports(4, [f"{network}.{n + 1}" for n in range(count)])
        for number in range(count):
            ip = f"{network}.{number + 1}"
            zone = ZONES[number % len(ZONES)]
            name = f"edge-{zone}-{number + 1}"
            host = Host(name, ip, zone, self._folder / f"{name}.toml")
            host.ports = ports
            self.hosts.append(host)
        seeds = [f"{host.ip}:{ports[2]}" for host in self.hosts[:3]]
        for host in self.hosts:
            host.settings.write_text(_settings(host, seeds, self.store, bounds))
            await host.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all hosts say that they are ready."""
        ends_at = time.monotonic() + START_S
        for host in self.hosts:
            while not await host.ready():
                if time.monotonic() > ends_at:
                    raise UnableError(f"{host.name} isn't ready")
                await asyncio.sleep(0.1)
        self.note("all hosts are ready")

    async def ask(
        self,
        host: Host,
        path: str,
        key: str = "",
        method: str = "GET",
        wait_ms: int = 1000,
        channel: Channel | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request to a host, and note what came of it."""
        self._count += 1
        attempt_id = f"a{self._count:05d}"
        all_headers = {
            "Host": HOST_HEADER,
            "X-Deadline-Ms": str(wait_ms),
            **({"X-Key": key} if key else {}),
            **(headers or {}),
        }
        body = b"x" * 200 if method == "POST" else b""
        channel_used = channel or Channel(host.name, host.address)
        reply = await channel_used.request(attempt_id, method, path, all_headers, body)
        if channel is None:
            channel_used.close()
        self.replies.append(reply)
        self.note(f"sent {method} {path} key={key or 'none'}; {reply.line()}")
        return reply

    def runs_of(self, attempt_id: str):
        """Return the runs of a request, over all replicas."""
        return [
            run
            for replica in self.replicas.values()
            for run in replica.runs
            if run.attempt_id == attempt_id
        ]

    def note_runs(self) -> None:
        """Add all runs to the record."""
        for replica in self.replicas.values():
            for run in replica.runs:
                self.note(
                    f"run at {run.replica}: {run.attempt_id} {run.request} tenant="
                    f"{run.headers.get('x-tenant', 'none')} began {run.at:.3f} "
                    f"{run.ended or 'going on'} {run.ended_at:.3f}"
                )

    def keep_logs(self) -> None:
        """Write what the hosts logged to the file that `LOGS` names, if it is set."""
        if not os.environ.get("LOGS"):
            return
        with Path(os.environ["LOGS"]).open("w") as file:
            for host in self.hosts:
                path = host.settings.with_suffix(".log")
                for line in path.read_text(errors="replace").splitlines():
                    file.write(f"{host.name} {line}\n")

    async def stop(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            await host.kill()


def run_case(file: str, case: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a case, and exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Path(file).resolve().parent / "record.txt"
    sys.exit(asyncio.run(_run(record, case)))


async def _run(record: Path, case: Callable[[Fleet], Awaitable[None]]) -> int:
    # An end by a signal must end the hosts, too.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), record)
        fleet.note(f"trouble: {fleet.trouble}")
        try:
            async with asyncio.timeout(LIMIT_S):
                await case(fleet)
            code, text = 0, "held"
        except BrokenError as exc:
            code, text = 1, f"broken: {exc}"
        except Exception as exc:
            code, text = 2, f"could not run: {exc!r}"
        finally:
            await fleet.stop()
        fleet.note_runs()
        fleet.keep_logs()
        fleet.note(f"rule {text}")
        print(text)
        return code


def _network() -> str:
    """Return a part of the loopback range that other cases don't use just now."""
    return f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"


def _free_ports(count: int, addresses: list[str]) -> list[int]:
    """Return ports that are free on all the addresses."""
    found: list[int] = []
    for port in range(21_000, 32_000):
        if len(found) == count:
            return found
        with contextlib.ExitStack() as stack:
            try:
                for address in addresses:
                    sock = stack.enter_context(socket.socket())
                    sock.bind((address, port))
            except OSError:
                continue
        found.append(port)
    raise UnableError("no free ports")


def _settings(host: Host, seeds: list[str], store: Store, bounds: str) -> str:
    caller, ready, peers, metrics = host.ports
    return f"""
nodeName = "{host.name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{host.ip}"
zone = "{host.zone}"
region = "tz-south"
portRange = [{metrics}, {metrics}]
seedNodes = {seeds}
bootstrap = true
discovery = "platform"
entryPoint = "vip"
heartbeatMs = 1200
[zones]
mbeya = "tz-south"
iringa = "tz-south"
njombe = "tz-south"
[listen]
frontend = "{host.ip}:{caller}"
ready = "{host.ip}:{ready}"
controlPlane = "{host.ip}:{peers}"
[limits]
cpuQuota = 0.537
cpuCores = 2
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
revertSlackMs = 250
retryRatio = 0.9
budgetWindowS = 10
retrySlack = 52
exposureShare = 0.15
exposureSlack = 30
recoverS = 12
passMs = 120
sessionS = 5
{bounds}
[platform]
address = "{store.address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""
