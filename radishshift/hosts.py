"""Entry hosts and the data centres they stand in."""

import enum
from dataclasses import dataclass

import xxhash

__all__ = ["Host", "HostState", "rendezvous_order"]


class HostState(enum.StrEnum):
    """State of an entry host, as its peers and the platform's list give it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Host:
    """An entry host; one process of it is one member.

    Attributes
    ----------
    name : str
    data_centre : str
    region : str
    peer_address : str
        Base URL of its peer port, with an IP number.
    incarnation : int
        Grows with each start under the same name, in milliseconds since the epoch.
    state : HostState
    """

    name: str
    data_centre: str
    region: str
    peer_address: str
    incarnation: int = 0
    state: HostState = HostState.LIVE


def rendezvous_order(names: list[str], purpose: str) -> list[str]:
    """Return `names` in the order in which they are to take up `purpose`.

    Hosts that hold the same list agree on the order without a message, and one
    that goes moves no one else's place.
    """
    return sorted(
        names,
        key=lambda name: (xxhash.xxh64_intdigest((purpose + name).encode()), name),
    )
