"""Distribution of the configuration: few hosts watch the platform, the rest pull it.

In each data centre the first hosts by rendezvous rank watch the platform. Heartbeats
carry a summary of each host's configuration; a host that sees a peer with a higher
revision, or with the same revision and a different digest, pulls what it lacks from
that peer. While the platform confirms nothing, further hosts in rank watch it too.
"""

import asyncio
import math
import zlib
from typing import Any

import logbook
import msgspec
import xxhash

from radishshift.clocks import Clock
from radishshift.configuration import (
    CONFIGURATION_KINDS,
    Configuration,
    ConfigurationDelta,
)
from radishshift.errors import RadishshiftError
from radishshift.hosts import Host, HostState, rendezvous_order
from radishshift.object_table import Head
from radishshift.peers import Peers
from radishshift.platform import Platform

__all__ = ["ConfigurationFollower", "watchers"]

TOPIC = "cfg"
MIN_WATCHERS = 2
MAX_WATCHERS = 6
EXTRA_WATCHER_INTERVAL_S = 10.0
POLL_INTERVAL_S = 1.0
PULL_TIMEOUT_S = 1.5

logger = logbook.Logger("following")


class _DeltaRequest(msgspec.Struct, array_like=True):
    heads: list[Head]
    whole: bool


def watchers(peers: Peers, count: int) -> list[str]:
    """Return the hosts of this data centre that should watch the platform."""
    names = [host.name for host in peers.live(peers.me.data_centre)]
    if peers.me.state is HostState.LIVE:
        names.append(peers.me.name)
    return rendezvous_order(names, "configuration")[:count]


class ConfigurationFollower:
    """Keeps a host's configuration up to date; adds a section to the heartbeats.

    Parameters
    ----------
    configuration : Configuration
    platform : Platform
    peers : Peers
    clock : Clock
    watch_from : float
        Instant before which the host does not watch, so that it can first discover its
        peers.
    """

    name = "c"

    def __init__(
        self,
        configuration: Configuration,
        platform: Platform,
        peers: Peers,
        clock: Clock,
        watch_from: float = 0.0,
    ) -> None:
        self.pulls = 0
        self._configuration = configuration
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._watch_from = watch_from
        self._watches: list[asyncio.Task] = []
        # Value: same revision but different digest, so the whole table is needed.
        self._peers_ahead: dict[str, bool] = {}
        self._peer_is_ahead = asyncio.Event()
        self._last_hosts_head = Head()
        peers.add_section(self)
        peers.handle(TOPIC, self._handle_delta_request)
        configuration.listeners.append(lambda _: peers.send_heartbeats_soon())

    @property
    def watching(self) -> bool:
        """Return whether this host watches the platform."""
        return bool(self._watches)

    def outgoing(self, peer: Host, now: float) -> Any:
        """Return the highest revision, a digest, and the age of the confirmation."""
        age_s = min(999_999, math.ceil(now - self._configuration.confirmed_at))
        return [self._highest_revision(), self._digest(), age_s]

    def incoming(self, peer: Host, value: Any, now: float) -> None:
        """Compare a peer's summary with this host's; schedule a pull if it is ahead."""
        highest, digest, age_s = value
        if digest == self._digest():
            self._configuration.confirm(now - age_s)
        elif highest >= self._highest_revision():
            self._peers_ahead[peer.name] = highest == self._highest_revision()
            self._peer_is_ahead.set()

    async def run(self) -> None:
        """Watch the platform or pull from peers, until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pull_from_peers())
                tasks.create_task(self._update_periodically())
        finally:
            self._stop_watching()

    async def _update_periodically(self) -> None:
        while True:
            now = self._clock.now()
            self._configuration.update_canary_exclusion()
            self._update_members(now)
            self._update_watches(now)
            await self._clock.sleep_until(now + POLL_INTERVAL_S)

    def _update_watches(self, now: float) -> None:
        age_s = now - self._configuration.confirmed_at
        extra = max(
            0, int((age_s - EXTRA_WATCHER_INTERVAL_S) / EXTRA_WATCHER_INTERVAL_S)
        )
        count = min(MAX_WATCHERS, MIN_WATCHERS + extra)
        should_watch = self._peers.me.name in watchers(self._peers, count)
        if should_watch and now >= self._watch_from and not self._watches:
            self._watches = [
                asyncio.create_task(
                    self._configuration.synchronize_kind(self._platform, kind)
                )
                for kind in CONFIGURATION_KINDS
            ]
        elif not should_watch:
            self._stop_watching()

    def _stop_watching(self) -> None:
        for task in self._watches:
            task.cancel()
        self._watches = []

    def _update_members(self, now: float) -> None:
        head = self._configuration.heads()[-1]
        if head != self._last_hosts_head:
            self._last_hosts_head = head
            self._peers.merge_host_list(self._configuration.hosts(), now)

    async def _pull_from_peers(self) -> None:
        while True:
            await self._peer_is_ahead.wait()
            self._peer_is_ahead.clear()
            while self._peers_ahead:
                name, same_revision = self._peers_ahead.popitem()
                await self._pull(name, same_revision)

    async def _pull(self, name: str, whole: bool) -> None:
        self.pulls += 1
        try:
            if not await self._pull_delta(name, whole) and not whole:
                await self._pull_delta(name, True)
        except (RadishshiftError, ValueError, TypeError, zlib.error) as exc:
            logger.info("failed to pull the configuration from {}: {}", name, exc)

    async def _pull_delta(self, name: str, whole: bool) -> bool:
        delta_request = _DeltaRequest(self._configuration.heads(), whole)
        deadline = self._clock.now() + PULL_TIMEOUT_S
        message = msgspec.json.encode(delta_request)
        reply = await self._peers.call(name, TOPIC, message, deadline)
        delta = msgspec.json.decode(zlib.decompress(reply), type=ConfigurationDelta)
        return self._configuration.merge(delta)

    async def _handle_delta_request(self, _: str, message: bytes) -> bytes:
        delta_request = msgspec.json.decode(message, type=_DeltaRequest)
        delta = self._configuration.delta(delta_request.heads, delta_request.whole)
        return zlib.compress(msgspec.json.encode(delta), 1)

    def _highest_revision(self) -> int:
        return max(head.complete for head in self._configuration.heads())

    def _digest(self) -> str:
        return xxhash.xxh64_hexdigest(msgspec.json.encode(self._configuration.heads()))[
            :12
        ]
