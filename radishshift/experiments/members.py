"""False removals of hosts under loss and pauses, in virtual time."""

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
KEYS = PeerKeys((b"the key of an experiment",))
HEARTBEAT_S = 2.0
DELAY_S = 0.005
MEET_S = 20.0
GIVE_UP_S = 60.0

flags.DEFINE_list("members_sizes", ["6", "24", "95"], "Numbers of hosts.")
flags.DEFINE_float("members_loss", 0.05, "Share of messages that are lost.")
flags.DEFINE_float("members_pause_s", 5.0, "Length of a pause, in seconds.")
flags.DEFINE_float("members_pauses_per_s", 0.1, "Pauses a second, over all hosts.")
flags.DEFINE_float("members_for_s", 600.0, "Virtual time at each size, in seconds.")


@dataclass(slots=True)
class _Links:
    """Links that lose messages, between hosts that may be paused."""

    rng: Random
    hosts: dict[str, HttpPeers] = field(default_factory=dict)
    paused_until: dict[str, float] = field(default_factory=dict)

    def awake_at(self, name: str) -> float:
        return self.paused_until.get(name, 0.0)


@dataclass(slots=True)
class _Channel:
    """One host's way to the others."""

    name: str
    links: _Links
    clock: LoopClock

    async def send(self, host: Host, path: str, body: bytes, deadline: float) -> bytes:
        """Hand a heartbeat to a host, unless it or its answer is lost."""
        links = self.links
        await self.clock.sleep_until(links.awake_at(self.name))
        lost = [links.rng.random() < FLAGS.members_loss for _ in range(2)]
        await self.clock.sleep_until(self.clock.now() + DELAY_S)
        other = links.hosts.get(host.peer_address)
        asleep = links.awake_at(host.peer_address) > self.clock.now()
        if other is not None and not lost[0] and not asleep:
            reply = other.receive_heartbeat(body)
            if not lost[1]:
                return reply
        await self.clock.sleep_until(deadline)
        raise PeerUnavailableError("lost on command")


@dataclass(slots=True)
class _Removals:
    """Removals and suspicions that hosts noted, by the host they are about."""

    suspected: int = 0
    removed: int = 0

    def note(self, host: Host) -> None:
        self.suspected += host.state is HostState.SUSPECT
        self.removed += host.state is HostState.DEAD


def _start(links: _Links, number: int, seeds: tuple[str, ...]) -> HttpPeers:
    clock = LoopClock()
    name = f"mbeya-{number}"
    me = Host(name, "mbeya", "tz-south", name, int(clock.now() * 1000))
    peers = HttpPeers(me, KEYS, clock, None, HEARTBEAT_S, seeds)
    peers.channel = _Channel(name, links, clock)
    links.hosts[name] = peers
    return peers


async def _pause_some(links: _Links) -> None:
    clock = LoopClock()
    while True:
        pause_s = links.rng.expovariate(FLAGS.members_pauses_per_s)
        await clock.sleep_until(clock.now() + pause_s)
        name = links.rng.choice(sorted(links.hosts))
        links.paused_until[name] = clock.now() + FLAGS.members_pause_s


async def _removed_by_all(links: _Links, name: str) -> float:
    clock = LoopClock()
    began = clock.now()
    while clock.now() < began + GIVE_UP_S:
        states = [host.membership.members[name].state for host in links.hosts.values()]
        if all(state is HostState.DEAD for state in states):
            return round(clock.now() - began, 1)
        await clock.sleep_until(clock.now() + 0.1)
    return float("inf")


async def _run(size: int, seed: int) -> dict[str, Any]:
    clock = LoopClock()
    links = _Links(Random(seed))
    tasks = {}
    for number in range(size):
        seeds = ("mbeya-0",) if number else ()
        peers = _start(links, number, seeds)
        tasks[peers.me.name] = asyncio.create_task(peers.run())
    await clock.sleep_until(clock.now() + MEET_S)
    met = min(len(peers.live()) for peers in links.hosts.values())
    false = _Removals()
    for peers in links.hosts.values():
        peers.membership.listeners.append(false.note)
    pausing = asyncio.create_task(_pause_some(links))
    await clock.sleep_until(clock.now() + FLAGS.members_for_s)
    result = {
        "hosts": size,
        "met": met + 1,
        "false_suspicions_noted": false.suspected,
        "false_removals_noted": false.removed,
    }
    killed = f"mbeya-{size // 2}"
    del links.hosts[killed]
    tasks[killed].cancel()
    result["removed_by_all_after_s"] = await _removed_by_all(links, killed)
    for task in (pausing, *tasks.values()):
        task.cancel()
    await asyncio.gather(pausing, *tasks.values(), return_exceptions=True)
    return result


@experiment("members")
def members(seed: int) -> Mapping[str, Any]:
    """Count removals of hosts that live, and the time to remove one that died."""
    runs = [run_virtually(_run(int(size), seed)) for size in FLAGS.members_sizes]
    return {
        "loss": FLAGS.members_loss,
        "pause_s": FLAGS.members_pause_s,
        "virtual_s": FLAGS.members_for_s,
        "runs": runs,
    }
