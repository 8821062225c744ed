"""Which entry hosts there are, and in what state.

The platform's list of hosts lags, and heartbeats reach only a few peers, so the two
are joined. A host's row spreads with a version of `4 * base + rank`, where only the
host itself raises `base` and the rank is that of its state. Suspicion by a peer
therefore beats the row it doubts, and the suspected host beats the suspicion.
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
REMOVE_AFTER_S = 10.0
FORGET_AFTER_S = 3600.0
GATEWAYS = 2
SUCCESSORS = 3
RANKS = {
    HostState.LIVE: 0,
    HostState.SUSPECT: 1,
    HostState.DEAD: 2,
    HostState.LEAVING: 3,
}
STATES = {rank: state for state, rank in RANKS.items()}
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


def successors(names: list[str], me: str, count: int = SUCCESSORS) -> list[str]:
    """Return the hosts that `me` sends heartbeats to.

    The sorted names form a ring, and the steps along it grow by a constant factor:
    news that each host passes on at once reaches all of `n` hosts in at most
    `count * n ** (1 / count)` hops.
    """
    ring = sorted({*names, me})
    size = len(ring)
    if size <= count + 1:
        return [name for name in ring if name != me]
    factor = math.ceil(size ** (1 / count))
    at = ring.index(me)
    steps = dict.fromkeys(factor**power % size for power in range(count))
    return [ring[(at + step) % size] for step in steps if step]


@dataclass(slots=True, eq=False)
class Member:
    """A host as this one knows it; the model of the machine of host states.

    Attributes
    ----------
    host : Host
        With the state as last heard.
    state : HostState
    heard_at : float
        Instant of the last heartbeat from it, or of the first news of it.
    remove_at : float
        Instant at which a suspect is removed.
    listed : bool
        Whether the platform's list has it.
    """

    host: Host
    state: HostState
    heard_at: float
    remove_at: float = math.inf
    listed: bool = False


class Membership:
    """The table of hosts.

    Parameters
    ----------
    me : Host
    """

    def __init__(self, me: Host) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self.listeners: list[Callable[[Host], None]] = []
        self.section = GossipSection("m", me, True, self._row_came)
        self._machine = Machine(
            model=None,
            states=HostState,
            initial=HostState.LIVE,
            transitions=TRANSITIONS,
            auto_transitions=False,
        )
        self._publish(HostState.LIVE, me.incarnation, me.incarnation / 1000)

    def hosts(self) -> list[Host]:
        """Return the other hosts, in order of name."""
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

    def first(self, count: int, purpose: str, data_centre: str) -> list[str]:
        """Return the hosts that take up a purpose in a data centre."""
        return rendezvous_order(self.live_names(data_centre), purpose)[:count]

    def heartbeat_targets(self) -> list[Host]:
        """Return the hosts that this one sends heartbeats to."""
        near = [
            name
            for name, member in self.members.items()
            if member.host.data_centre == self.me.data_centre
            and member.state is not HostState.DEAD
        ]
        names = successors(near, self.me.name)
        if self.me.name in self.first(GATEWAYS, "gateway", self.me.data_centre):
            names.extend(self._far_gateways())
        return [self.members[name].host for name in names]

    def _far_gateways(self) -> list[str]:
        mine = self.first(GATEWAYS, "gateway", self.me.data_centre)
        place = mine.index(self.me.name)
        chosen = []
        centres = {member.host.data_centre for member in self.members.values()}
        for data_centre in sorted(centres - {self.me.data_centre}):
            theirs = self.first(GATEWAYS, "gateway", data_centre)
            if theirs:
                chosen.append(theirs[place % len(theirs)])
        return chosen

    def random_dead_host(self, rng: Random) -> Host | None:
        """Return a removed host to try again, so that a healed cut is noticed."""
        dead = [m.host for m in self.members.values() if m.state is HostState.DEAD]
        return rng.choice(dead) if dead else None

    def record_heartbeat(self, host: Host, now: float) -> None:
        """Note a heartbeat that came from a host itself."""
        member = self.members.get(host.name)
        if member is None:
            return
        member.heard_at = now
        member.host = replace(member.host, incarnation=host.incarnation)

    def record_missed_heartbeat(self, name: str, now: float) -> None:
        """Note that a host did not answer a heartbeat."""
        member = self.members.get(name)
        if member is None or member.state not in (HostState.LIVE, HostState.LEAVING):
            return
        if now - member.heard_at >= SUSPECT_AFTER_S:
            self._doubt(member, HostState.SUSPECT, now)

    def expire(self, now: float) -> None:
        """Remove suspects whose time is over, and forget the long dead."""
        for member in list(self.members.values()):
            if member.state is HostState.SUSPECT and member.remove_at <= now:
                self._doubt(member, HostState.DEAD, now)
            gone = member.state is HostState.DEAD and not member.listed
            if gone and now - member.heard_at >= FORGET_AFTER_S:
                del self.members[member.host.name]
                self.section.forget(member.host.name)

    def set_peer_address(self, address: str, now: float) -> None:
        """Set the address that this host publishes."""
        self.me = replace(self.me, peer_address=address)
        self._publish(self.me.state, self._base() + 1, now)

    def leave(self, now: float) -> None:
        """Say that this host is leaving."""
        self._publish(HostState.LEAVING, self._base() + 1, now)

    def merge_host_list(self, items: Iterable[StoredObject], now: float) -> None:
        """Join the platform's list of hosts with what is known."""
        names = set()
        for item in items:
            if item.name == self.me.name:
                continue
            try:
                spec = read_host(item.name, item.spec)
            except SettingsError as exc:
                logger.error("the list's host {}", exc.message)
                continue
            names.add(item.name)
            if item.name not in self.members:
                value = [spec.data_centre, spec.region, spec.peer_address, 0]
                self.section.merge_row(item.name, 0, value, self.me.name, now)
        for name, member in self.members.items():
            member.listed = name in names

    def _base(self) -> int:
        return self.section.rows[self.me.name].version // 4

    def _publish(self, state: HostState, base: int, now: float) -> None:
        me = self.me = replace(self.me, state=state)
        value = [me.data_centre, me.region, me.peer_address, me.incarnation]
        version = 4 * base + RANKS[state]
        self.section.merge_row(me.name, version, value, me.name, now)

    def _doubt(self, member: Member, state: HostState, now: float) -> None:
        name = member.host.name
        row = self.section.rows[name]
        version = row.version // 4 * 4 + RANKS[state]
        if version <= row.version:
            version += 4
        self.section.merge_row(name, version, row.value, self.me.name, now)

    def _row_came(self, name: str, row: Row, now: float) -> None:
        state = STATES[row.version % 4]
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
        self._move(member, state, now)
        member.host = host
        for listener in self.listeners:
            listener(host)

    def _move(self, member: Member, state: HostState, now: float) -> None:
        before = member.state
        self._machine.events[TRIGGERS[state]].trigger(member)
        if state is HostState.SUSPECT and before is not state:
            member.remove_at = now + REMOVE_AFTER_S
        if state is HostState.LIVE and before is not state:
            member.heard_at = now
