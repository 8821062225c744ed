"""False removals of hosts under message loss and pauses, in virtual time."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from absl import flags

from radishshift.bench import experiment
from radishshift.hosts import Host, HostState
from radishshift.http_peers import HttpPeers
from radishshift.peer_messages import PeerKeys
from radishshift.peers import PeerUnavailableError
from radishshift.virtual_time import LoopClock, run_virtually

__all__ = ["members"]

FLAGS = flags.FLAGS
PEER_KEYS = PeerKeys((b"the key of an experiment",))
HEARTBEAT_S = 2.0
MESSAGE_DELAY_S = 0.005
DISCOVERY_S = 20.0
REMOVAL_TIMEOUT_S = 60.0

flags.DEFINE_list("members_sizes", ["6", "24", "95"], "Numbers of hosts.")
flags.DEFINE_float("members_loss", 0.05, "Share of messages that are lost.")
flags.DEFINE_float("members_pause_s", 5.0, "Duration of a pause, in seconds.")
flags.DEFINE_float("members_pauses_per_s", 0.1, "Pauses per second, over all hosts.")
flags.DEFINE_float("members_for_s", 600.0, "Virtual time per size, in seconds.")


@dataclass(slots=True)
class _Links:
    """Lossy links between hosts that may be paused."""

    rng: Random
    hosts: dict[str, HttpPeers] = field(default_factory=dict)
    paused_until: dict[str, float] = field(default_factory=dict)

    def resumes_at(self, name: str) -> float:
        return self.paused_until.get(name, 0.0)


@dataclass(slots=True)
class _Channel:
    """Transport of one host's heartbeats over the simulated links."""

    name: str
    links: _Links
    clock: LoopClock

    async def send(self, host: Host, path: str, body: bytes, deadline: float) -> bytes:
        """Deliver a heartbeat to a host, unless it or its answer is lost."""
        links = self.links
        await self.clock.sleep_until(links.resumes_at(self.name))
        lost = [links.rng.random() < FLAGS.members_loss for _ in range(2)]
        await self.clock.sleep_until(self.clock.now() + MESSAGE_DELAY_S)
        other = links.hosts.get(host.peer_address)
        is_paused = links.resumes_at(host.peer_address) > self.clock.now()
        if other is not None and not lost[0] and not is_paused:
            reply = other.receive_heartbeat(body)
            if not lost[1]:
                return reply
        await self.clock.sleep_until(deadline)
        raise PeerUnavailableError("no answer over the simulated link")


@dataclass(slots=True)
class _FalseAlarms:
    """Numbers of suspicions and removals of live hosts, summed over all observers."""

    suspected: int = 0
    removed: int = 0

    def record(self, host: Host) -> None:
        self.suspected += host.state is HostState.SUSPECT
        self.removed += host.state is HostState.DEAD


def _start_host(links: _Links, number: int, seeds: tuple[str, ...]) -> HttpPeers:
    clock = LoopClock()
    name = f"mbeya-{number}"
    me = Host(name, "mbeya", "tz-south", name, int(clock.now() * 1000))
    peers = HttpPeers(me, PEER_KEYS, clock, None, HEARTBEAT_S, seeds)
    peers.channel = _Channel(name, links, clock)
    links.hosts[name] = peers
    return peers


async def _pause_hosts(links: _Links) -> None:
    clock = LoopClock()
    while True:
        interval_s = links.rng.expovariate(FLAGS.members_pauses_per_s)
        await clock.sleep_until(clock.now() + interval_s)
        name = links.rng.choice(sorted(links.hosts))
        links.paused_until[name] = clock.now() + FLAGS.members_pause_s


async def _removal_time_s(links: _Links, name: str) -> float:
    clock = LoopClock()
    started_at = clock.now()
    while clock.now() < started_at + REMOVAL_TIMEOUT_S:
        states = [host.membership.members[name].state for host in links.hosts.values()]
        if all(state is HostState.DEAD for state in states):
            return round(clock.now() - started_at, 1)
        await clock.sleep_until(clock.now() + 0.1)
    return float("inf")


async def _run(size: int, seed: int) -> dict[str, Any]:
    clock = LoopClock()
    links = _Links(Random(seed))
    tasks = {}
    for number in range(size):
        seeds = ("mbeya-0",) if number else ()
        peers = _start_host(links, number, seeds)
        tasks[peers.me.name] = asyncio.create_task(peers.run())
    await clock.sleep_until(clock.now() + DISCOVERY_S)
    known_hosts = min(len(peers.live()) for peers in links.hosts.values())
    false_alarms = _FalseAlarms()
    for peers in links.hosts.values():
        peers.membership.listeners.append(false_alarms.record)
    pause_task = asyncio.create_task(_pause_hosts(links))
    await clock.sleep_until(clock.now() + FLAGS.members_for_s)
    result = {
        "hosts": size,
        "met": known_hosts + 1,
        "false_suspicions_noted": false_alarms.suspected,
        "false_removals_noted": false_alarms.removed,
    }
    killed = f"mbeya-{size // 2}"
    del links.hosts[killed]
    tasks[killed].cancel()
    result["removed_by_all_after_s"] = await _removal_time_s(links, killed)
    for task in (pause_task, *tasks.values()):
        task.cancel()
    await asyncio.gather(pause_task, *tasks.values(), return_exceptions=True)
    return result


@experiment("members")
def members(seed: int) -> Mapping[str, Any]:
    """Count false removals, and measure the time to remove a host that died."""
    runs = [run_virtually(_run(int(size), seed)) for size in FLAGS.members_sizes]
    return {
        "loss": FLAGS.members_loss,
        "pause_s": FLAGS.members_pause_s,
        "virtual_s": FLAGS.members_for_s,
        "runs": runs,
    }
