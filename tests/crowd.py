"""An entry process of its own, and crowds of callers on raw connections."""

import asyncio
import fcntl
import os
import socket
import sys
import tempfile
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

import msgspec

from radishshift.standins.deployment import KEY

__all__ = [
    "Crowd",
    "CrowdedEntry",
    "alone",
    "crowded_entry",
    "free_port",
    "head_of",
    "open_descriptors",
    "peak_mb",
]

RUN_ENTRY = "import sys; from radishshift.entry import run; sys.exit(run())"
LOCK_FILE = "radishshift-crowds.lock"
POLL_S = 0.02


@contextmanager
def alone():
    """Keep other crowds off the machine while the context is open."""
    path = Path(tempfile.gettempdir()) / LOCK_FILE
    with path.open("a", encoding="utf-8") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def peak_mb(pid):
    """Return the largest resident memory of a process so far, in MB."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024 / 1e6


def free_port():
    """Return a port that nothing listens at."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def open_descriptors(pid):
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def head_of(path, key=KEY, method="POST", **headers):
    """Return the head of a request, without the line that ends it."""
    lines = [f"{method} {path} HTTP/1.1", "Host: entry"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "".join(f"{line}\r\n" for line in lines).encode()


class Crowd:
    """Callers that send parts over a connection each, and read nothing.

    Parameters
    ----------
    address : tuple of str and int
    """

    def __init__(self, address):
        self.address = address
        self.socks = []

    async def _send(self, sock, parts):
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, self.address)
            for part in parts:
                await loop.sock_sendall(sock, part)
        except OSError:
            pass  # closing the connection is one of the ways to refuse

    async def send(self, count, parts, wait_s=6.0):
        """Let callers send all parts, or what is taken of them within a time."""
        tasks = []
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            # A small window, so that unread answers wait in the host's memory.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            self.socks.append(sock)
            tasks.append(asyncio.ensure_future(self._send(sock, parts)))
        _, unsent = await asyncio.wait(tasks, timeout=wait_s)
        for task in unsent:
            task.cancel()
        await asyncio.gather(*unsent, return_exceptions=True)

    def leave(self):
        """Close the connections."""
        for sock in self.socks:
            sock.close()


class CrowdedEntry:
    """An entry process with its addresses and the crowd at one of them."""

    def __init__(self, process, log):
        self.process = process
        self.log = log
        self.crowds = []

    def _logged(self, text):
        for line in self.log.read_text(encoding="utf-8").splitlines():
            _, found, rest = line.partition(text)
            if found:
                return rest.split('"')[0]
        return ""

    async def wait_until_listening(self):
        """Wait for the address of the callers' port."""
        while not (url := self._logged("serving callers at ")):
            if self.process.returncode is not None:
                raise AssertionError(self.log.read_text(encoding="utf-8"))
            await asyncio.sleep(POLL_S)
        self.url = url

    @property
    def caller_address(self):
        """Return the callers' IP address and port."""
        ip, _, port = self.url.rpartition("/")[2].rpartition(":")
        return ip, int(port)

    def crowd(self, address=None):
        """Return a crowd at an address, the callers' port by default."""
        crowd = Crowd(address or self.caller_address)
        self.crowds.append(crowd)
        return crowd


@asynccontextmanager
async def crowded_entry(directory, deployment, **sections):
    """Run an entry process with sections of its settings."""
    settings = directory / "host.jsonc"
    log = directory / "log"
    values = {
        "name": "mbeya-entry-1",
        "dataCentre": "mbeya",
        "region": "tz-south",
        "platform": {"address": deployment.platform_address},
        "address": {"callerPort": 0, "peerPort": 0, "metricsPort": 0},
    } | sections
    settings.write_bytes(msgspec.json.encode(values))
    with log.open("wb") as log_file:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", RUN_ENTRY, f"--settings={settings}"),
            stderr=log_file,
        )
    entry = CrowdedEntry(process, log)
    try:
        await entry.wait_until_listening()
        yield entry
    finally:
        for crowd in entry.crowds:
            crowd.leave()
        if process.returncode is None:
            process.kill()
        await process.wait()
