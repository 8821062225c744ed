"""An entry host as a process of an experiment, which reports on itself.

`python -m radishshift.experiments.control_host SETTINGS OPTIONS` runs the entry that
`radishshift-entry` runs. It prints a JSON line when ready, one for each catalogue it
puts in force, and one with its counters for each line that it reads.
"""

import asyncio
import gc
import os
import socket
import struct
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import logbook
import msgspec

from radishshift.configuration import Configuration
from radishshift.entry import EntryHost, run_entry_host
from radishshift.hosts import Host
from radishshift.logs import log_json_to
from radishshift.objects import Kind
from radishshift.peer_channel import PeerChannel
from radishshift.peers import PeerUnavailableError
from radishshift.settings import load_settings

__all__ = ["HostOptions", "main"]

HEADERS_BYTES = 52
LOOK_S = 2.0
TCP_INFO_BYTES = 144
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class HostOptions(msgspec.Struct):
    """What an experiment asks of a host."""

    control: bool = True
    loss_share: float = 0.0
    count_sections: bool = False
    seed: int = 0


class LossyChannel:
    """A channel that loses requests and replies; the sender waits in vain."""

    def __init__(self, inner: PeerChannel, share: float, seed: str) -> None:
        self._inner = inner
        self._share = share
        self._rng = Random(seed)

    async def send(self, host: Host, path: str, body: bytes, deadline: float) -> bytes:
        """Send a message, or lose it or its reply."""
        request_lost = self._rng.random() < self._share
        reply_lost = self._rng.random() < self._share
        reply = b""
        if not request_lost:
            reply = await self._inner.send(host, path, body, deadline)
        if request_lost or reply_lost:
            await asyncio.sleep(max(0.0, deadline - time.time()))
            raise PeerUnavailableError("lost on command")
        return reply


class CountingChannel:
    """A channel that counts bytes by kind of message and by section."""

    def __init__(self, inner: PeerChannel) -> None:
        self.counts: Counter[str] = Counter()
        self._inner = inner

    async def send(self, host: Host, path: str, body: bytes, deadline: float) -> bytes:
        """Send a message and count it and its reply."""
        reply = await self._inner.send(host, path, body, deadline)
        self.counts[f"{path} messages"] += 2
        self.counts[f"{path} body"] += len(body) + len(reply)
        if path == "/h":
            for data in (body, reply):
                for name, value in msgspec.json.decode(data)[3].items():
                    self.counts[f"section {name}"] += len(msgspec.json.encode(value))
        return reply


def _open_sockets() -> Iterator[socket.socket]:
    for number in os.listdir("/proc/self/fd"):
        with suppress(OSError):
            if os.readlink(f"/proc/self/fd/{number}").startswith("socket:"):
                yield socket.socket(fileno=os.dup(int(number)))


def _wire_bytes(conn: socket.socket) -> tuple[int, int]:
    info = conn.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    acked, received = struct.unpack_from("QQ", info, 120)
    segments_out, segments_in = struct.unpack_from("II", info, 136)
    return acked + segments_out * HEADERS_BYTES, received + segments_in * HEADERS_BYTES


class Traffic:
    """Bytes on the wire of all connections, those that have closed included."""

    def __init__(self, platform_port: int) -> None:
        self._platform_port = platform_port
        self._open: dict[tuple, tuple[str, int, int]] = {}
        self._closed: Counter[str] = Counter()

    def look(self) -> None:
        """Read the kernel's counters of the connections that are open."""
        seen = {}
        for conn in _open_sockets():
            with conn, suppress(OSError):
                if conn.family != socket.AF_INET or conn.type != socket.SOCK_STREAM:
                    continue
                peer = conn.getpeername()
                kind = "platform" if peer[1] == self._platform_port else "peers"
                seen[conn.getsockname(), peer] = (kind, *_wire_bytes(conn))
        for key in self._open.keys() - seen.keys():
            self._add(self._closed, self._open[key])
        self._open = seen

    def totals(self) -> dict[str, int]:
        """Return bytes sent and received so far, by kind of connection."""
        totals = Counter(self._closed)
        for counted in self._open.values():
            self._add(totals, counted)
        return dict(totals)

    @staticmethod
    def _add(totals: Counter[str], counted: tuple[str, int, int]) -> None:
        kind, sent, received = counted
        totals[f"{kind}_sent"] += sent
        totals[f"{kind}_received"] += received

    async def run(self) -> None:
        """Look often enough to miss little of a connection that closes."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_S)


def _rss_bytes() -> int:
    pages = Path("/proc/self/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * PAGE_BYTES


class _Reverts:
    """Counts objects that went back, or came back after their deletion."""

    def __init__(self, configuration: Configuration) -> None:
        self.count = 0
        self._tables = configuration.tables
        self._seen: dict[tuple[Kind, str], int] = {}

    def look(self) -> None:
        """Compare what is held with the highest revisions seen."""
        for kind, table in self._tables.items():
            for name, item in table.items.items():
                key = (kind, name)
                if item.revision < self._seen.get(key, 0):
                    self.count += 1
                self._seen[key] = max(item.revision, self._seen.get(key, 0))


def _say(**values: Any) -> None:
    sys.stdout.write(msgspec.json.encode(values).decode() + "\n")
    sys.stdout.flush()


def _counters(host: EntryHost, reverts: _Reverts, traffic: Traffic) -> dict[str, Any]:
    cpu_before_s = time.process_time()
    follower = host.peers.sections.get("c")
    gc.collect()
    traffic.look()
    counters = {
        "at": time.time(),
        "cpu_before_s": cpu_before_s,
        "rss_bytes": _rss_bytes(),
        "traffic": traffic.totals(),
        "reverts": reverts.count,
        "watching": follower is not None and follower.watching,
        "live": len(host.peers.live()),
        "revision": host.router.configuration.revision,
        "held": sorted(name for name in host.duties.duties if host.duties.holds(name)),
        "sections": dict(getattr(host.peers.channel, "counts", {}))
        if hasattr(host.peers, "channel")
        else {},
    }
    counters["cpu_after_s"] = time.process_time()
    return counters


async def _lines() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    return reader


async def _run(settings_path: str, options: HostOptions) -> None:
    cfg = load_settings(settings_path)
    port = int(cfg.platform.address.rpartition(":")[2])
    async with run_entry_host(cfg, options.control) as host:
        if options.loss_share:
            seed = f"{options.seed}{cfg.name}"
            channel = LossyChannel(host.peers.channel, options.loss_share, seed)
            host.peers.channel = channel
        if options.count_sections:
            host.peers.channel = CountingChannel(host.peers.channel)
        configuration = host.router.configuration
        reverts = _Reverts(configuration)

        def report(_: object) -> None:
            reverts.look()
            _say(at=time.time(), revision=configuration.revision)

        configuration.listeners.append(report)
        address = host.peers.me.peer_address
        _say(ready=cfg.name, peer_address=address, address=host.address)
        traffic = Traffic(port)
        looking = asyncio.create_task(traffic.run())
        lines = await _lines()
        while await lines.readline():
            _say(counters=_counters(host, reverts, traffic))
        looking.cancel()


def main() -> None:
    """Run the host until its standard input ends."""
    log_json_to(level=logbook.WARNING)
    options = msgspec.json.decode(sys.argv[2], type=HostOptions)
    asyncio.run(_run(sys.argv[1], options))


if __name__ == "__main__":
    main()
