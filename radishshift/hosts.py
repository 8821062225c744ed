"""Entry hosts, their states and their order by rendezvous hashing."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

__all__ = ["Host", "HostState", "rendezvous_order", "widest_first"]


class HostState(enum.StrEnum):
    """State of an entry host, as reported by its peers and the platform's list."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Host:
    """An entry host, as represented by one process.

    Attributes
    ----------
    name : str
    data_centre : str
    region : str
    peer_address : str
        Base URL of the peer port, with an IP address as its host.
    incarnation : int
        Start time of the process in milliseconds since the epoch; it tells a restarted
        host from the earlier process of the same name.
    state : HostState
    """

    name: str
    data_centre: str
    region: str
    peer_address: str
    incarnation: int = 0
    state: HostState = HostState.LIVE


def widest_first(links: Mapping[str, float], purpose: str) -> list[str]:
    """Return the hosts sorted by the bandwidth of their links, widest first.

    Hosts with equal links are sorted by their rendezvous hash for `purpose`.
    """
    order = rendezvous_order(list(links), purpose)
    return sorted(order, key=lambda host: -links[host])


def rendezvous_order(names: list[str], purpose: str) -> list[str]:
    """Return `names` sorted by their rendezvous hash for `purpose`.

    Hosts with the same list agree on the order without communication, and a host that
    leaves does not change the relative order of the others.
    """
    return sorted(
        names,
        key=lambda name: (xxhash.xxh64_intdigest((purpose + name).encode()), name),
    )
