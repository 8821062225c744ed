"""Cluster membership: the entry hosts that this host knows, and their states.

The platform's list of hosts lags behind, and each host sends heartbeats to only a few
peers, so the table of members is built from both. Each host has a row that spreads by
gossip with the version `4 * base + rank`, where the rank stands for the host's state.
Only the host itself raises `base`, except when a peer has to override a row whose rank
is not lower. A row in which a peer marks the host as suspect therefore supersedes the
row of the live host, and the suspected host supersedes it in turn with a higher `base`.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random

import logbook
from transitions import Machine

from radishshift.errors import SettingsError
from radishshift.gossip_section import GossipSection, Row
from radishshift.hosts import Host, HostState, rendezvous_order
from radishshift.manifests import read_host
from radishshift.objects import StoredObject

__all__ = ["Member", "Membership", "successors"]

SUSPECT_AFTER_S = 6.0
DEAD_AFTER_SUSPECT_S = 10.0
FORGET_AFTER_S = 3600.0
GATEWAYS_PER_DATA_CENTRE = 2
SUCCESSOR_COUNT = 3
STATE_RANKS = {
    HostState.LIVE: 0,
    HostState.SUSPECT: 1,
    HostState.DEAD: 2,
    HostState.LEAVING: 3,
}
STATES_BY_RANK = {rank: state for state, rank in STATE_RANKS.items()}
TRANSITIONS = [
    ["suspect", [HostState.LIVE, HostState.DEAD, HostState.LEAVING], HostState.SUSPECT],
    ["suspect", HostState.SUSPECT, None],
    ["remove", "*", HostState.DEAD],
    ["leave", "*", HostState.LEAVING],
    ["return_live", "*", HostState.LIVE],
]
TRIGGERS = {
    HostState.LIVE: "return_live",
    HostState.SUSPECT: "suspect",
    HostState.DEAD: "remove",
    HostState.LEAVING: "leave",
}

logger = logbook.Logger("membership")


def successors(names: list[str], me: str, count: int = SUCCESSOR_COUNT) -> list[str]:
    """Return the hosts on the ring that `me` sends heartbeats to.

    The sorted names form a ring, and the distances from `me` to its successors grow by
    a constant factor. An update that each host forwards at once reaches all of `n`
    hosts in at most `count * n ** (1 / count)` hops.
    """
    ring = sorted({*names, me})
    size = len(ring)
    if size <= count + 1:
        return [name for name in ring if name != me]
    factor = math.ceil(size ** (1 / count))
    position = ring.index(me)
    steps = dict.fromkeys(factor**power % size for power in range(count))
    return [ring[(position + step) % size] for step in steps if step]


@dataclass(slots=True, eq=False)
class Member:
    """Another host as this one knows it; the model of the host state machine.

    Attributes
    ----------
    host : Host
        With the state that was last received.
    state : HostState
    last_heard_at : float
        Instant of the last heartbeat from the host, or of its first row; reset when
        the host becomes live again.
    dead_at : float
        Instant at which the host is marked dead if it is still suspect.
    listed : bool
        Whether the host is in the platform's list.
    """

    host: Host
    state: HostState
    last_heard_at: float
    dead_at: float = math.inf
    listed: bool = False


class Membership:
    """The table of entry hosts and their states.

    Parameters
    ----------
    me : Host
        This host.
    """

    def __init__(self, me: Host) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self.listeners: list[Callable[[Host], None]] = []
        self.section = GossipSection("m", me, True, self._on_row_changed)
        self._machine = Machine(
            model=None,
            states=HostState,
            initial=HostState.LIVE,
            transitions=TRANSITIONS,
            auto_transitions=False,
        )
        self._publish(HostState.LIVE, me.incarnation, me.incarnation / 1000)

    def hosts(self) -> list[Host]:
        """Return the other hosts, sorted by name."""
        return [self.members[name].host for name in sorted(self.members)]

    def live_names(self, data_centre: str) -> list[str]:
        """Return the live hosts of a data centre, this one included."""
        names = [
            name
            for name, member in self.members.items()
            if member.state is HostState.LIVE and member.host.data_centre == data_centre
        ]
        if data_centre == self.me.data_centre and self.me.state is HostState.LIVE:
            names.append(self.me.name)
        return sorted(names)

    def rendezvous_hosts(self, count: int, purpose: str, data_centre: str) -> list[str]:
        """Return the `count` live hosts that rendezvous hashing gives a purpose to."""
        return rendezvous_order(self.live_names(data_centre), purpose)[:count]

    def heartbeat_targets(self) -> list[Host]:
        """Return the hosts that this one sends heartbeats to."""
        same_centre_names = [
            name
            for name, member in self.members.items()
            if member.host.data_centre == self.me.data_centre
            and member.state is not HostState.DEAD
        ]
        names = successors(same_centre_names, self.me.name)
        if self.me.name in self.rendezvous_hosts(
            GATEWAYS_PER_DATA_CENTRE, "gateway", self.me.data_centre
        ):
            names.extend(self._remote_gateways())
        return [self.members[name].host for name in names]

    def _remote_gateways(self) -> list[str]:
        own_gateways = self.rendezvous_hosts(
            GATEWAYS_PER_DATA_CENTRE, "gateway", self.me.data_centre
        )
        own_index = own_gateways.index(self.me.name)
        remote_names = []
        centres = {member.host.data_centre for member in self.members.values()}
        for data_centre in sorted(centres - {self.me.data_centre}):
            remote_gateways = self.rendezvous_hosts(
                GATEWAYS_PER_DATA_CENTRE, "gateway", data_centre
            )
            if remote_gateways:
                remote_names.append(remote_gateways[own_index % len(remote_gateways)])
        return remote_names

    def random_dead_host(self, rng: Random) -> Host | None:
        """Return a random dead host to contact, to detect a healed partition."""
        dead = [m.host for m in self.members.values() if m.state is HostState.DEAD]
        return rng.choice(dead) if dead else None

    def record_heartbeat(self, host: Host, now: float) -> None:
        """Record a heartbeat that was received from a host."""
        member = self.members.get(host.name)
        if member is None:
            return
        member.last_heard_at = now
        member.host = replace(member.host, incarnation=host.incarnation)

    def record_missed_heartbeat(self, name: str, now: float) -> None:
        """Record that a host did not answer; mark it suspect if silent for long."""
        member = self.members.get(name)
        if member is None or member.state not in (HostState.LIVE, HostState.LEAVING):
            return
        if now - member.last_heard_at >= SUSPECT_AFTER_S:
            self._override_state(member, HostState.SUSPECT, now)

    def expire(self, now: float) -> None:
        """Mark overdue suspects as dead, and forget unlisted hosts long dead."""
        for member in list(self.members.values()):
            if member.state is HostState.SUSPECT and member.dead_at <= now:
                self._override_state(member, HostState.DEAD, now)
            forgettable = member.state is HostState.DEAD and not member.listed
            if forgettable and now - member.last_heard_at >= FORGET_AFTER_S:
                del self.members[member.host.name]
                self.section.forget(member.host.name)

    def set_peer_address(self, address: str, now: float) -> None:
        """Set the peer address that this host publishes in its row."""
        self.me = replace(self.me, peer_address=address)
        self._publish(self.me.state, self._base_version() + 1, now)

    def leave(self, now: float) -> None:
        """Publish that this host is leaving."""
        self._publish(HostState.LEAVING, self._base_version() + 1, now)

    def merge_host_list(self, items: Iterable[StoredObject], now: float) -> None:
        """Merge the platform's list of hosts into the table.

        Hosts that are new get a row of version 0, which any row of theirs supersedes.
        """
        names = set()
        for item in items:
            if item.name == self.me.name:
                continue
            try:
                spec = read_host(item.name, item.spec)
            except SettingsError as exc:
                logger.error("invalid host in the platform's list: {}", exc.message)
                continue
            names.add(item.name)
            if item.name not in self.members:
                value = [spec.data_centre, spec.region, spec.peer_address, 0]
                self.section.merge_row(item.name, 0, value, self.me.name, now)
        for name, member in self.members.items():
            member.listed = name in names

    def _base_version(self) -> int:
        return self.section.rows[self.me.name].version // 4

    def _publish(self, state: HostState, base: int, now: float) -> None:
        me = self.me = replace(self.me, state=state)
        value = [me.data_centre, me.region, me.peer_address, me.incarnation]
        version = 4 * base + STATE_RANKS[state]
        self.section.merge_row(me.name, version, value, me.name, now)

    def _override_state(self, member: Member, state: HostState, now: float) -> None:
        name = member.host.name
        row = self.section.rows[name]
        version = row.version // 4 * 4 + STATE_RANKS[state]
        if version <= row.version:
            version += 4
        self.section.merge_row(name, version, row.value, self.me.name, now)

    def _on_row_changed(self, name: str, row: Row, now: float) -> None:
        state = STATES_BY_RANK[row.version % 4]
        if name == self.me.name:
            if row.source != self.me.name:
                self._publish(self.me.state, row.version // 4 + 1, now)
            return
        data_centre, region, address, incarnation = row.value
        host = Host(name, data_centre, region, address, incarnation, state)
        member = self.members.get(name)
        if member is None:
            member = Member(host, state, now)
            self.members[name] = member
        self._set_state(member, state, now)
        member.host = host
        for listener in self.listeners:
            listener(host)

    def _set_state(self, member: Member, state: HostState, now: float) -> None:
        previous = member.state
        self._machine.events[TRIGGERS[state]].trigger(member)
        if state is HostState.SUSPECT and previous is not state:
            member.dead_at = now + DEAD_AFTER_SUSPECT_S
        if state is HostState.LIVE and previous is not state:
            member.last_heard_at = now
