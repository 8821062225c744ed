"""Following the configuration: a few hosts from the platform, the rest from peers.

In a data centre the first hosts by rendezvous rank watch the platform. Heartbeats
carry a short description of what a host holds; one that sees a peer with more, or
with as much that differs, asks it for what it lacks. While the platform gives no
news, further hosts in rank try it too.
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
STEP_IN_S = 10.0
LOOK_S = 1.0
PULL_TIMEOUT_S = 1.5

logger = logbook.Logger("following")


class _Question(msgspec.Struct, array_like=True):
    heads: list[Head]
    whole: bool


def watchers(peers: Peers, count: int) -> list[str]:
    """Return the hosts of this data centre that are to watch the platform."""
    names = [host.name for host in peers.live(peers.me.data_centre)]
    if peers.me.state is HostState.LIVE:
        names.append(peers.me.name)
    return rendezvous_order(names, "configuration")[:count]


class ConfigurationFollower:
    """Keeps a host's configuration up to date; rides on heartbeats as a section.

    Parameters
    ----------
    configuration : Configuration
    platform : Platform
    peers : Peers
    clock : Clock
    watch_from : float
        Instant before which the host doesn't watch, so that it can meet its peers.
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
        self._watch_at = watch_from
        self._watches: list[asyncio.Task] = []
        self._ahead: dict[str, bool] = {}
        self._news = asyncio.Event()
        self._hosts_seen = Head()
        peers.add_section(self)
        peers.handle(TOPIC, self._answer)
        configuration.listeners.append(lambda _: peers.send_heartbeats_soon())

    @property
    def watching(self) -> bool:
        """Tell whether this host watches the platform."""
        return bool(self._watches)

    def outgoing(self, peer: Host, now: float) -> Any:
        """Return the highest revision held, a digest, and the age of the news."""
        age_s = min(999_999, math.ceil(now - self._configuration.confirmed_at))
        return [self._highest(), self._digest(), age_s]

    def incoming(self, peer: Host, value: Any, now: float) -> None:
        """Take a peer's description, and ask it for what this host lacks."""
        highest, digest, age_s = value
        if digest == self._digest():
            self._configuration.confirm(now - age_s)
        elif highest >= self._highest():
            self._ahead[peer.name] = highest == self._highest()
            self._news.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pull_news())
                tasks.create_task(self._look())
        finally:
            self._stop_watching()

    async def _look(self) -> None:
        while True:
            now = self._clock.now()
            self._configuration.check_staleness()
            self._tell_members(now)
            self._match_watches(now)
            await self._clock.sleep_until(now + LOOK_S)

    def _match_watches(self, now: float) -> None:
        age_s = now - self._configuration.confirmed_at
        more = max(0, int((age_s - STEP_IN_S) / STEP_IN_S))
        count = min(MAX_WATCHERS, MIN_WATCHERS + more)
        wanted = self._peers.me.name in watchers(self._peers, count)
        if wanted and now >= self._watch_at and not self._watches:
            self._watches = [
                asyncio.create_task(
                    self._configuration.follow_kind(self._platform, kind)
                )
                for kind in CONFIGURATION_KINDS
            ]
        elif not wanted:
            self._stop_watching()

    def _stop_watching(self) -> None:
        for task in self._watches:
            task.cancel()
        self._watches = []

    def _tell_members(self, now: float) -> None:
        head = self._configuration.heads()[-1]
        if head != self._hosts_seen:
            self._hosts_seen = head
            self._peers.merge_host_list(self._configuration.hosts(), now)

    async def _pull_news(self) -> None:
        while True:
            await self._news.wait()
            self._news.clear()
            while self._ahead:
                name, equal = self._ahead.popitem()
                await self._pull(name, equal)

    async def _pull(self, name: str, whole: bool) -> None:
        self.pulls += 1
        try:
            if not await self._ask(name, whole) and not whole:
                await self._ask(name, True)
        except (RadishshiftError, ValueError, TypeError, zlib.error) as exc:
            logger.info("no configuration from {}: {}", name, exc)

    async def _ask(self, name: str, whole: bool) -> bool:
        question = _Question(self._configuration.heads(), whole)
        deadline = self._clock.now() + PULL_TIMEOUT_S
        message = msgspec.json.encode(question)
        reply = await self._peers.call(name, TOPIC, message, deadline)
        delta = msgspec.json.decode(zlib.decompress(reply), type=ConfigurationDelta)
        return self._configuration.merge(delta)

    async def _answer(self, _: str, message: bytes) -> bytes:
        question = msgspec.json.decode(message, type=_Question)
        delta = self._configuration.delta(question.heads, question.whole)
        return zlib.compress(msgspec.json.encode(delta), 1)

    def _highest(self) -> int:
        return max(head.complete for head in self._configuration.heads())

    def _digest(self) -> str:
        return xxhash.xxh64_hexdigest(msgspec.json.encode(self._configuration.heads()))[
            :12
        ]
