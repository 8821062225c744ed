"""The other hosts as one host knows them, and which of them to gossip with."""

from collections.abc import Iterable, Iterator, Set
from dataclasses import dataclass, field, replace
from random import Random

import logbook

from radishshift.decisions.fleet_load import (
    MIN_COORDINATED_HOSTS,
    REPORT_MAX_AGE_S,
    first_coordinator,
)
from radishshift.decisions.freshness import ReadOrder
from radishshift.gateway.gossip_messages import CentreSummary, GossipMessage
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.hosts import rendezvous_order
from radishshift.object_table import Head

__all__ = ["HOST_TIMEOUT_S", "Centre", "Peer", "PeerTable"]

FANOUT = 2  # peers per round; 6 KB/s with messages of 1.5 KB
# Relative to a peer in this data centre, as traffic between data centres is billed.
REMOTE_PEER_WEIGHT = 0.25
# With this many peers in its data centre a host gossips with the one that may become
# its coordinator, and news spreads within it: few exchanges need to cross.
MIN_CANDIDATE_PEERS = 4
REMOTE_ROUND_SHARE = 0.2  # of a host's rounds there, one exchange crosses
# Peers to which a change is pushed. Each of them pushes it on, so that it reaches 98 %
# of the hosts.
CHANGE_FANOUT = 4
REMOTE_CHANGE_FANOUT = 1  # of these, from a large data centre
# Peers per round that a host without a way to a service asks for help.
LOCAL_HELP_FANOUT = 2
REMOTE_HELP_FANOUT = 4
# A host from which no host has received a message for this long counts as dead.
HOST_TIMEOUT_S = 4.0
MAX_FAILURES = 2  # of requests in a row, after which a host counts as dead, too
PEER_EXPIRY_S = 60.0  # a host that is silent for that long is no longer contacted
PEERS_PER_MESSAGE = 8
NONE_SILENT: frozenset[str] = frozenset()

logger = logbook.Logger("exchange")


@dataclass(slots=True)
class Peer:
    """A peer as this host knows it.

    Attributes
    ----------
    data_centre : str
        Empty while it is not known.
    last_heard_at : float
        Latest instant at which any host is known to have received a message from it.
    message_at : float
        Instant at which `message` was received.
    failed_at : float
        Instant of the last failed request to it, 0 if there was none.
    failures : int
        Failed requests to it since a message was last received from it.
    message : GossipMessage or None
        The last message received from it.
    link_mbps : float
        Bandwidth of its link, 0 while it is not known.
    delta_bases : dict of str to Head
        Table heads of the peer when a delta was last sent to it.
    """

    address: str
    data_centre: str = ""
    last_heard_at: float = 0.0
    message_at: float = 0.0
    failed_at: float = 0.0
    failures: int = 0
    message: GossipMessage | None = None
    link_mbps: float = 0.0
    delta_bases: dict[str, Head] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Centre:
    """A data centre's coordinator and number of hosts, as it stated them `at`."""

    coordinator: str
    address: str
    hosts: int
    at: float

    def fresh(self, now: float) -> bool:
        """Return whether the coordinator may be taken to be live."""
        return now - self.at < HOST_TIMEOUT_S


class PeerTable:
    """The known peers of a host.

    Parameters
    ----------
    settings : GatewaySettings
    rng : Random

    Attributes
    ----------
    peers : dict of str to Peer
        By name.
    centres : dict of str to Centre
        What is known of each data centre's coordinator.
    """

    def __init__(self, settings: GatewaySettings, rng: Random) -> None:
        self._settings = settings
        self._random = rng
        self.peers: dict[str, Peer] = {}
        self.centres: dict[str, Centre] = {}

    def record(self, message: GossipMessage, now: float) -> Peer | None:
        """Record the sender of a message and the peers that it lists.

        Returns
        -------
        Peer or None
            The sender, or None if the message is of an older incarnation.
        """
        neighbours = set(message.neighbours)
        for name, (address, age_s) in message.peers.items():
            if name != self._settings.host:
                known = self.peers.setdefault(name, Peer(address))
                known.last_heard_at = max(known.last_heard_at, now - age_s)
                if name in neighbours:
                    known.data_centre = message.data_centre
                known.link_mbps = message.links.get(name, known.link_mbps)
        peer = self.peers.setdefault(message.host, Peer(message.address))
        if peer.message is None or now - peer.last_heard_at > HOST_TIMEOUT_S:
            logger.info("host {} is reachable", message.host)
        if peer.message is not None and message.incarnation < peer.message.incarnation:
            return None
        peer.address = message.address
        peer.data_centre = message.data_centre
        peer.link_mbps = message.link_mbps
        peer.last_heard_at = now
        peer.message_at = now
        previous = peer.message
        if message.brief and previous and previous.incarnation == message.incarnation:
            message.load = previous.load
        peer.message = message
        peer.failures = 0
        for data_centre, summary in message.centres.items():
            self._record_centre(data_centre, summary, now)
        return peer

    def _record_centre(
        self, data_centre: str, summary: CentreSummary, now: float
    ) -> None:
        """Record a statement on a coordinator, unless a better one is known."""
        centre = Centre(
            summary.coordinator, summary.address, summary.hosts, now - summary.age_s
        )
        if not centre.fresh(now) or centre.coordinator == self._settings.host:
            return
        peer = self.peers.setdefault(centre.coordinator, Peer(centre.address))
        peer.data_centre = data_centre
        peer.link_mbps = summary.link_mbps
        peer.last_heard_at = max(peer.last_heard_at, centre.at)
        known = self.centres.get(data_centre)
        if known is not None and known.fresh(now):
            if known.coordinator == centre.coordinator:
                if known.at > centre.at:
                    return
            elif known.coordinator == first_coordinator(
                self._links((known.coordinator, centre.coordinator))
            ):
                return
        self.centres[data_centre] = centre

    def record_failure(self, address: str, exc: Exception, now: float) -> None:
        """Record a request to a peer that failed; log the first since the last success.

        After `MAX_FAILURES` in a row it counts as dead, unless others hear from it.
        """
        for name, peer in self.peers.items():
            if peer.address == address:
                if peer.last_heard_at > peer.failed_at:
                    logger.warning("host {} does not answer: {!r}", name, exc)
                peer.failed_at = now
                peer.failures += 1

    def excuse_silence(self, duration_s: float, now: float) -> None:
        """Let a time for which this host stood still not count as the peers' silence.

        Parameters
        ----------
        duration_s, now : float
        """
        for peer in self.peers.values():
            peer.failures = 0
            if peer.last_heard_at:
                peer.last_heard_at = min(now, peer.last_heard_at + duration_s)
        self.centres = {
            name: replace(centre, at=min(now, centre.at + duration_s))
            for name, centre in self.centres.items()
        }

    def live(self, now: float) -> Iterator[tuple[str, Peer]]:
        """Yield the live peers with their names."""
        for name, peer in self.peers.items():
            failed = peer.failures >= MAX_FAILURES
            if now - peer.last_heard_at < HOST_TIMEOUT_S and not (
                failed and peer.last_heard_at <= peer.failed_at
            ):
                yield name, peer

    def live_hosts(self, now: float) -> list[str]:
        """Return the sorted names of the live hosts, including this one."""
        return sorted([*(name for name, _ in self.live(now)), self._settings.host])

    def recent(self, now: float) -> list[Peer]:
        """Return the peers from which a message was received lately."""
        since = now - REPORT_MAX_AGE_S
        return [
            peer
            for peer in self.peers.values()
            if peer.message is not None and peer.message_at > since
        ]

    def local_hosts(self, now: float) -> list[str]:
        """Return the live hosts of this data centre, including this one."""
        own = self._settings.data_centre
        names = [name for name, peer in self.live(now) if peer.data_centre == own]
        return sorted([*names, self._settings.host])

    def link_mbps(self, host: str) -> float:
        """Return the bandwidth of a host's link in Mbit/s, 0 if it is not known."""
        if host == self._settings.host:
            return self._settings.link_mbps
        peer = self.peers.get(host)
        return 0.0 if peer is None else peer.link_mbps

    def _links(self, hosts: Iterable[str]) -> dict[str, float]:
        return {host: self.link_mbps(host) for host in hosts}

    def candidate(self, now: float) -> str:
        """Return the host of this data centre that coordinates it, if it is large."""
        return first_coordinator(self._links(self.local_hosts(now)))

    def coordinator(self, now: float) -> str | None:
        """Return the coordinator of this data centre, or None if it needs none."""
        centre = self._own_centre(now)
        return centre.coordinator if centre.hosts >= MIN_COORDINATED_HOSTS else None

    def keeper(self, endpoint: str, data_centre: str, now: float) -> str:
        """Return the host that keeps the request budget of an endpoint.

        It is the coordinator of the endpoint's data centre, or the host that would be
        if the data centre were large. If it has no live host, the coordinator of
        another one takes its place.

        Parameters
        ----------
        endpoint, data_centre : str
            Names of the endpoint and of its data centre.
        """
        if data_centre == self._settings.data_centre:
            return self.candidate(now)
        candidates = self._candidates(now)
        if data_centre in candidates:
            return candidates[data_centre]
        return rendezvous_order(list(candidates.values()), endpoint)[0]

    def _candidates(self, now: float) -> dict[str, str]:
        """Return the coordinator, or who would be, of each data centre with hosts."""
        hosts: dict[str, list[str]] = {}
        for name, peer in self.live(now):
            hosts.setdefault(peer.data_centre, []).append(name)
        candidates = {
            data_centre: first_coordinator(self._links(names))
            for data_centre, names in hosts.items()
        }
        candidates |= {
            data_centre: centre.coordinator
            for data_centre, centre in self._fresh_centres(now)
        }
        candidates.pop("", None)
        return candidates

    def control_hosts(self, now: float) -> list[str]:
        """Return the hosts that follow the platform for all, sorted.

        In a large fleet these are the coordinators, which all know of each other,
        else all live hosts.
        """
        if self.coordinator(now) is None:
            return self.live_hosts(now)
        return sorted(centre.coordinator for _, centre in self._fresh_centres(now))

    def read_order(self, now: float) -> ReadOrder:
        """Return which hosts are to read the store before this one."""
        own = self._settings.host
        if own in self.control_hosts(now):
            return ReadOrder.FOLLOWER
        widest_mbps = max(self._links(self.local_hosts(now)).values())
        narrow = self.link_mbps(own) < widest_mbps
        return ReadOrder.NARROW if narrow else ReadOrder.WIDE

    def host_count(self, now: float) -> int:
        """Return the number of live hosts, as far as known."""
        live = 1 + sum(1 for _ in self.live(now))
        return max(live, sum(centre.hosts for _, centre in self._fresh_centres(now)))

    def centre_summaries(self, now: float) -> dict[str, CentreSummary]:
        """Return what is known of the data centres, for a message.

        Small data centres, which need no coordinator, are left out.
        """
        small = len(self._local_addresses()) < MIN_CANDIDATE_PEERS
        if small and not self.centres:
            return {}
        return {
            data_centre: CentreSummary(
                centre.coordinator,
                centre.address,
                centre.hosts,
                round(now - centre.at, 2),
                self.link_mbps(centre.coordinator),
            )
            for data_centre, centre in self._fresh_centres(now)
        }

    def _fresh_centres(self, now: float) -> Iterator[tuple[str, Centre]]:
        own = self._settings.data_centre
        yield own, self._own_centre(now)
        for data_centre, centre in self.centres.items():
            if data_centre != own and centre.fresh(now):
                yield data_centre, centre

    def _own_centre(self, now: float) -> Centre:
        """Return this data centre; a coordinator counts the hosts that it hears."""
        settings = self._settings
        candidate = self.candidate(now)
        if candidate == settings.host:
            heard = sum(
                peer.data_centre == settings.data_centre for peer in self.recent(now)
            )
            return Centre(candidate, settings.peer_address, 1 + heard, now)
        known = self.centres.get(settings.data_centre)
        if known is not None and known.coordinator == candidate:
            return known
        peer = self.peers[candidate]
        return Centre(candidate, peer.address, 0, peer.last_heard_at)

    def address_of(self, host: str) -> str:
        """Return the address of a host, empty if it is not known."""
        peer = self.peers.get(host)
        return "" if peer is None else peer.address

    def listed(self, now: float) -> dict[str, tuple[str, float]]:
        """Return some live peers for a message.

        Returns
        -------
        dict of str to tuple
            Address and seconds since the peer was last heard, by name.
        """
        live = list(self.live(now))
        return {
            name: (peer.address, round(now - peer.last_heard_at, 2))
            for name, peer in self._random.sample(
                live, min(PEERS_PER_MESSAGE, len(live))
            )
        }

    def local_links(self, hosts: Iterable[str]) -> dict[str, float]:
        """Return those of some peers that are local, with their bandwidths."""
        own = self._settings.data_centre
        return self._links(
            host for host in hosts if self.peers[host].data_centre == own
        )

    def for_round(self, now: float, silent: Set[str] = NONE_SILENT) -> list[str]:
        """Return the addresses to gossip with in the next round.

        A coordinator hears from each host of its data centre in each round, and gossips
        with the other coordinators.

        Parameters
        ----------
        now : float
        silent : set of str
            Addresses to leave out, as messages to them are unanswered.
        """
        addresses = self._addresses(now, silent)
        known_local = self._local_addresses()
        local = known_local - silent
        candidate = self.candidate(now)
        if len(known_local) < MIN_CANDIDATE_PEERS:
            return self._weighted_sample(
                addresses, local, FANOUT if known_local else FANOUT // 2
            )
        if candidate != self._settings.host:
            chosen = [self.address_of(candidate)]
        else:
            chosen = [
                centre.address
                for data_centre, centre in self._fresh_centres(now)
                if data_centre != self._settings.data_centre
            ]
        prompt = [address for address in chosen if address not in silent]
        remote = [address for address in addresses if address not in local]
        # One more peer takes the place of coordinators that are silent.
        others = 1 if len(prompt) == len(chosen) else 2
        for _ in range(others):
            crosses = remote and self._random.random() < REMOTE_ROUND_SHARE
            candidates = remote if crosses else sorted(local) or remote
            if candidates:
                prompt.append(self._random.choice(candidates))
        return list(dict.fromkeys(prompt))

    def for_change(self, now: float, silent: Set[str] = NONE_SILENT) -> list[str]:
        """Return the addresses to push a change to, but those that are silent."""
        addresses = self._addresses(now, silent)
        known_local = self._local_addresses()
        local = known_local - silent
        if len(known_local) < MIN_CANDIDATE_PEERS:
            return self._sample(addresses, CHANGE_FANOUT)
        remote = [address for address in addresses if address not in local]
        chosen = self._sample(remote, REMOTE_CHANGE_FANOUT)
        return chosen + self._sample(sorted(local), CHANGE_FANOUT - len(chosen))

    def for_help(self, now: float, silent: Set[str] = NONE_SILENT) -> list[str]:
        """Return the addresses to ask for what this host lacks.

        That is a way to a service, or changes that it may have missed.
        """
        addresses = self._addresses(now, silent)
        local = self._local_addresses() - silent
        remote = [address for address in addresses if address not in local]
        return [
            *self._sample(sorted(local), LOCAL_HELP_FANOUT),
            *self._sample(remote, REMOTE_HELP_FANOUT),
        ]

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        return self._random.sample(addresses, min(count, len(addresses)))

    def _weighted_sample(
        self, addresses: Iterable[str], local: set[str], count: int
    ) -> list[str]:
        """Sample without replacement (Efraimidis and Spirakis), preferring `local`."""
        keys = {
            address: self._random.random()
            ** (1 / (1.0 if address in local else REMOTE_PEER_WEIGHT))
            for address in addresses
        }
        return sorted(keys, key=keys.get, reverse=True)[:count]

    def _local_addresses(self) -> set[str]:
        own = self._settings.data_centre
        return {peer.address for peer in self.peers.values() if peer.data_centre == own}

    def _addresses(self, now: float, silent: Set[str]) -> list[str]:
        """Return the addresses of known peers and of seeds that are not known yet.

        Those that are silent are left out.
        """
        known = []
        for name, peer in list(self.peers.items()):
            if peer.last_heard_at and now - peer.last_heard_at > PEER_EXPIRY_S:
                del self.peers[name]
            else:
                known.append(peer.address)
        seeds = [seed for seed in self._settings.seeds if seed not in known]
        candidates = known + seeds
        left_out = {*silent, self._settings.peer_address}
        return [address for address in candidates if address not in left_out]
