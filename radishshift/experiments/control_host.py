"""Run an entry host as a subprocess of an experiment and report its measurements.

`python -m radishshift.experiments.control_host SETTINGS OPTIONS` runs the same host as
`radishshift-entry`. It prints one JSON line when it is ready, one whenever it applies
a catalogue, and one with its counters for each line read from standard input.
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

# Headers of a TCP segment: 20 bytes of IPv4, 32 of TCP with the time stamp option.
SEGMENT_HEADER_BYTES = 52
POLL_INTERVAL_S = 2.0
TCP_INFO_BYTES = 144  # size of struct tcp_info up to tcpi_segs_in
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class HostOptions(msgspec.Struct):
    """Options that an experiment passes to a host process."""

    control: bool = True
    loss_share: float = 0.0
    count_sections: bool = False
    seed: int = 0


class LossyChannel:
    """A channel that drops requests and replies; the sender waits for its deadline."""

    def __init__(self, inner: PeerChannel, loss_share: float, seed: str) -> None:
        self._inner = inner
        self._loss_share = loss_share
        self._rng = Random(seed)

    async def send(self, host: Host, path: str, body: bytes, deadline: float) -> bytes:
        """Send a message, or drop it or its reply."""
        request_lost = self._rng.random() < self._loss_share
        reply_lost = self._rng.random() < self._loss_share
        reply = b""
        if not request_lost:
            reply = await self._inner.send(host, path, body, deadline)
        if request_lost or reply_lost:
            await asyncio.sleep(max(0.0, deadline - time.time()))
            raise PeerUnavailableError("message dropped by the experiment")
        return reply


class CountingChannel:
    """A channel that counts body bytes by message kind and section."""

    def __init__(self, inner: PeerChannel) -> None:
        self.counts: Counter[str] = Counter()
        self._inner = inner

    async def send(self, host: Host, path: str, body: bytes, deadline: float) -> bytes:
        """Send a message and count the message and its reply."""
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


def _read_wire_bytes(conn: socket.socket) -> tuple[int, int]:
    tcp_info = conn.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    acked_bytes, received_bytes = struct.unpack_from("QQ", tcp_info, 120)
    segments_out, segments_in = struct.unpack_from("II", tcp_info, 136)
    return (
        acked_bytes + segments_out * SEGMENT_HEADER_BYTES,
        received_bytes + segments_in * SEGMENT_HEADER_BYTES,
    )


class TrafficCounter:
    """Counts bytes on the wire of all TCP connections, open and closed ones."""

    def __init__(self, platform_port: int) -> None:
        self._platform_port = platform_port
        self._open: dict[tuple, tuple[str, int, int]] = {}
        self._closed: Counter[str] = Counter()

    def poll(self) -> None:
        """Read the kernel's byte counters of all open connections."""
        current = {}
        for conn in _open_sockets():
            with conn, suppress(OSError):
                if conn.family != socket.AF_INET or conn.type != socket.SOCK_STREAM:
                    continue
                peer = conn.getpeername()
                kind = "platform" if peer[1] == self._platform_port else "peers"
                current[conn.getsockname(), peer] = (kind, *_read_wire_bytes(conn))
        for key in self._open.keys() - current.keys():
            self._add_to(self._closed, self._open[key])
        self._open = current

    def totals(self) -> dict[str, int]:
        """Return bytes sent and received so far, by kind of connection."""
        totals = Counter(self._closed)
        for counts in self._open.values():
            self._add_to(totals, counts)
        return dict(totals)

    @staticmethod
    def _add_to(totals: Counter[str], counts: tuple[str, int, int]) -> None:
        kind, sent, received = counts
        totals[f"{kind}_sent"] += sent
        totals[f"{kind}_received"] += received

    async def run(self) -> None:
        """Poll often enough that few bytes are missed when a connection closes."""
        while True:
            self.poll()
            await asyncio.sleep(POLL_INTERVAL_S)


def _rss_bytes() -> int:
    pages = Path("/proc/self/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * PAGE_BYTES


class _RevertCounter:
    """Counts objects that reverted to an older revision than one seen before.

    That includes deleted objects that reappear.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.count = 0
        self._tables = configuration.tables
        self._max_revisions: dict[tuple[Kind, str], int] = {}

    def update(self) -> None:
        """Compare the objects in force with the highest revisions seen."""
        for kind, table in self._tables.items():
            for name, item in table.items.items():
                key = (kind, name)
                if item.revision < self._max_revisions.get(key, 0):
                    self.count += 1
                self._max_revisions[key] = max(
                    item.revision, self._max_revisions.get(key, 0)
                )


def _print_json(**values: Any) -> None:
    sys.stdout.write(msgspec.json.encode(values).decode() + "\n")
    sys.stdout.flush()


def _collect_counters(
    host: EntryHost, reverts: _RevertCounter, traffic: TrafficCounter
) -> dict[str, Any]:
    cpu_before_s = time.process_time()
    follower = host.peers.sections.get("c")
    gc.collect()
    traffic.poll()
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


async def _open_stdin() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    return reader


async def _run(settings_path: str, options: HostOptions) -> None:
    cfg = load_settings(settings_path)
    platform_port = int(cfg.platform.address.rpartition(":")[2])
    async with run_entry_host(cfg, options.control) as host:
        if options.loss_share:
            seed = f"{options.seed}{cfg.name}"
            channel = LossyChannel(host.peers.channel, options.loss_share, seed)
            host.peers.channel = channel
        if options.count_sections:
            host.peers.channel = CountingChannel(host.peers.channel)
        configuration = host.router.configuration
        reverts = _RevertCounter(configuration)

        def report_revision(_: object) -> None:
            reverts.update()
            _print_json(at=time.time(), revision=configuration.revision)

        configuration.listeners.append(report_revision)
        address = host.peers.me.peer_address
        _print_json(ready=cfg.name, peer_address=address, address=host.address)
        traffic = TrafficCounter(platform_port)
        poll_task = asyncio.create_task(traffic.run())
        stdin = await _open_stdin()
        while await stdin.readline():
            _print_json(counters=_collect_counters(host, reverts, traffic))
        poll_task.cancel()


def main() -> None:
    """Run the host until its standard input ends."""
    log_json_to(level=logbook.WARNING)
    options = msgspec.json.decode(sys.argv[2], type=HostOptions)
    asyncio.run(_run(sys.argv[1], options))


if __name__ == "__main__":
    main()
