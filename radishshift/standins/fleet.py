"""The control plane of many hosts in one process, in virtual time."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from radishshift.clocks import Clock
from radishshift.configuration import Configuration
from radishshift.confirmations import (
    CONFIRMATION_WRITE_INTERVAL_S,
    CONFIRMATIONS_DUTY,
    Confirmations,
)
from radishshift.duties import Duties
from radishshift.following import ConfigurationFollower
from radishshift.guarded_platform import GuardedPlatform
from radishshift.hosts import Host
from radishshift.membership import GATEWAYS_PER_DATA_CENTRE, successors
from radishshift.objects import Kind, StoredObject
from radishshift.peers import MemoryPeers
from radishshift.platform import MemoryPlatform
from radishshift.standins.deployment import small_catalogue
from radishshift.standins.faulty import FaultyPlatform
from radishshift.virtual_time import LoopClock

__all__ = ["FleetHost", "VirtualFleet", "version_entry"]

HEARTBEAT_INTERVAL_S = 2.0
SETTLEMENT_DUTY = "settle"


def version_entry(name: str, revision: int, **changes: object) -> StoredObject:
    """Return a catalogue entry of a model version, with changes to its spec."""
    spec = {**small_catalogue()["farm-advice-large.v1"], **changes}
    return StoredObject(Kind.ENTRY, name, spec, {}, revision)


@dataclass(slots=True)
class FleetHost:
    """The control plane of one host, over a faulty connection to the platform."""

    peers: MemoryPeers
    faulty_platform: FaultyPlatform
    platform: GuardedPlatform
    configuration: Configuration
    follower: ConfigurationFollower
    duties: Duties
    tasks: list[asyncio.Task] = field(default_factory=list)

    def state(self, version: str) -> str:
        """Return the state of a model version in this host's catalogue."""
        return self.configuration.catalogue.versions[version].state.value


class VirtualFleet:
    """Hosts of several data centres that share one platform.

    Parameters
    ----------
    sizes : dict of str to int
        Number of hosts by data centre.
    seed : int
        Seed of the hosts' random jitter.
    """

    def __init__(self, sizes: dict[str, int], seed: int = 1) -> None:
        self.platform = MemoryPlatform()
        self.hosts: dict[str, FleetHost] = {}
        self._clock: Clock = LoopClock()
        self._network: dict[str, MemoryPeers] = {}
        self._rng = Random(seed)
        for data_centre, size in sizes.items():
            for number in range(size):
                self.start(f"{data_centre}-{number}", data_centre)

    def start(self, name: str, data_centre: str) -> FleetHost:
        """Start a host that has no configuration yet."""
        incarnation = int(self._clock.now() * 1000)
        me = Host(name, data_centre, "tz-south", f"http://{name}", incarnation)
        peers = MemoryPeers(me, self._network)
        faulty_platform = FaultyPlatform(self.platform, self._clock)
        platform = GuardedPlatform(
            faulty_platform, self._clock, Random(self._rng.random())
        )
        configuration = Configuration(self._clock)
        follower = ConfigurationFollower(configuration, platform, peers, self._clock)
        duties = Duties(platform, peers, self._clock)
        confirmations = Confirmations(configuration, platform, peers, self._clock)
        write = confirmations.write
        duties.add(
            CONFIRMATIONS_DUTY,
            write,
            CONFIRMATION_WRITE_INTERVAL_S,
            per_data_centre=True,
        )
        duties.add(SETTLEMENT_DUTY)
        host = FleetHost(
            peers, faulty_platform, platform, configuration, follower, duties
        )
        host.tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(confirmations.run()),
            asyncio.create_task(duties.run()),
        ]
        self.hosts[name] = host
        return host

    async def kill(self, name: str) -> None:
        """Stop a host without a graceful shutdown."""
        host = self.hosts.pop(name)
        host.faulty_platform.faults.down = True
        del self._network[name]
        await _cancel(host.tasks)

    async def run_for(self, seconds: float) -> None:
        """Run for a time in which hosts send heartbeats along the ring."""
        end = self._clock.now() + seconds
        while self._clock.now() < end:
            for host in list(self.hosts.values()):
                host.peers.send_sections(
                    self._clock.now(), self._heartbeat_targets(host)
                )
            await self._clock.sleep_until(
                min(end, self._clock.now() + HEARTBEAT_INTERVAL_S)
            )

    def hosts_in(self, data_centre: str) -> list[FleetHost]:
        """Return the hosts of a data centre."""
        return [
            host
            for host in self.hosts.values()
            if host.peers.me.data_centre == data_centre
        ]

    def cut_platform(self, data_centre: str, down: bool = True) -> None:
        """Partition a data centre from the platform, or heal the partition."""
        for host in self.hosts_in(data_centre):
            host.faulty_platform.faults.down = down

    def cut_other_data_centres(self, data_centre: str, cut: bool = True) -> None:
        """Partition a data centre from all others, or heal the partition."""
        inside = {host.peers.me.name for host in self.hosts_in(data_centre)}
        for name in inside:
            outside = set(self.hosts) - inside
            self.hosts[name].peers.cut = outside if cut else set()

    def calls(self) -> int:
        """Return the number of calls sent to the platform so far."""
        return sum(host.faulty_platform.calls for host in self.hosts.values())

    async def stop(self) -> None:
        """Stop all hosts."""
        await _cancel([task for host in self.hosts.values() for task in host.tasks])

    def _heartbeat_targets(self, host: FleetHost) -> list[str]:
        me = host.peers.me
        local_names = [other.peers.me.name for other in self.hosts_in(me.data_centre)]
        targets = [
            name for name in local_names if name in successors(local_names, me.name)
        ]
        if me.name in local_names[:GATEWAYS_PER_DATA_CENTRE]:
            centres = {other.peers.me.data_centre for other in self.hosts.values()}
            for data_centre in sorted(centres - {me.data_centre}):
                targets.append(self.hosts_in(data_centre)[0].peers.me.name)
        return targets


async def _cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
