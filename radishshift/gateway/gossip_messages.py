"""Messages between hosts, as JSON; short, as bytes between data centres cost."""

import msgspec

from radishshift.object_table import Head, TableDelta

__all__ = ["GossipMessage", "RolloutEvidence"]


class RolloutEvidence(msgspec.Struct, array_like=True):
    """What a host knows of one roll-out.

    Attributes
    ----------
    age_s : float
        Time since the order, in seconds.
    counts : list
        Each `[new version, route, answers, bad answers, slowness]`, of this host.
    old_in_flight : int
        Attempts of this host at the old version.
    """

    target: str
    age_s: float
    stopped: bool
    counts: list[tuple[bool, str, int, int, float]]
    old_in_flight: int = 0


class GossipMessage(msgspec.Struct, omit_defaults=True):
    """What one host tells another.

    Attributes
    ----------
    incarnation : int
        Start of the process, milliseconds since the epoch.
    peers : dict of str to tuple
        Address of some hosts heard of late, and how long ago, in seconds.
    store_lost : bool
        Whether the host cannot reach the store.
    load : dict of str to float
        Load on each endpoint by this host, in requests in flight.
    """

    host: str
    incarnation: int
    address: str
    data_centre: str
    heads: dict[str, Head]
    peers: dict[str, tuple[str, float]] = {}
    store_lost: bool = False
    load: dict[str, float] = {}
    crashes: dict[str, int] = {}
    trials: dict[str, RolloutEvidence] = {}
    tables: dict[str, TableDelta] = {}
