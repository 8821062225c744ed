"""Gossip messages between hosts, as JSON.

They are kept short, since traffic between data centres is billed by the byte.
"""

import msgspec

from radishshift.decisions.crashes import CrashReport
from radishshift.decisions.endpoint_limits import LimitReport
from radishshift.decisions.stated_departures import DepartureReport
from radishshift.object_table import Head, TableDelta

__all__ = ["CentreSummary", "GossipMessage", "RolloutEvidence"]


class RolloutEvidence(msgspec.Struct, array_like=True):
    """Evidence of one host on a roll-out.

    Attributes
    ----------
    age_s : float
        Time since the roll-out was ordered, in seconds.
    counts : list
        Each `[new version, route, answers, bad answers, slowness]`, counted by the
        sender.
    old_in_flight : int
        Attempts of the sender in flight at the old version.
    """

    target: str
    age_s: float
    stopped: bool
    counts: list[tuple[bool, str, int, int, float]]
    old_in_flight: int = 0


class CentreSummary(msgspec.Struct, array_like=True):
    """What is known of a data centre's coordinator, its first host by rendezvous hash.

    Attributes
    ----------
    coordinator, address : str
        Name and peer address.
    hosts : int
        Hosts of the data centre from which the coordinator hears, including itself.
    age_s : float
        Time since the coordinator stated this, in seconds.
    link_mbps : float
        Bandwidth of the coordinator's link.
    """

    coordinator: str
    address: str
    hosts: int
    age_s: float
    link_mbps: float = 0.0


class GossipMessage(msgspec.Struct, omit_defaults=True):
    """State that a host sends to a peer.

    Attributes
    ----------
    incarnation : int
        Start time of the process, milliseconds since the epoch.
    peers : dict of str to tuple
        Addresses of some live hosts, and the seconds since each last sent a message.
    neighbours : list of str
        Those of `peers` that are in the sender's data centre.
    link_mbps : float
        Bandwidth of the sender's link.
    links : dict of str to float
        Bandwidths of the links of `neighbours`, as far as known.
    centres : dict of str to CentreSummary
        By data centre.
    brief : bool
        Whether `peers`, `centres` and `load` were left out, as in a message that
        pushes a change.
    staleness_s : float or None
        Seconds since the sender's tables are known to have equalled the store's; None
        if it doesn't know, as a host of an earlier release.
    store_lost : bool
        Whether the sender cannot reach the store.
    load : dict of str to float
        Load that the sender puts on each endpoint, in requests in flight.
    centre_load : dict of str to float
        Load that the sender's data centre puts on each endpoint; from coordinators.
    crash_reports : list of CrashReport
        Recent crashes of endpoints that the sender knows of.
    sound_ages_s : dict of str to float
        Time since the last sound answer of some of their suspects, by trait.
    held_ages_s : dict of str to float
        Requests that the sender holds back, and the time since they last crashed an
        endpoint, by trait.
    alive_ages_s : dict of str to float
        Time since endpoints that had lost answers proved to live.
    limits : list of LimitReport
        What endpoints have last stated of their limits, as far as the sender knows.
    departures : list of DepartureReport
        Endpoints that have said in answers that they leave, as far as the sender knows.
    reached : dict of str to float
        Services that the sender reaches, and the seconds since it last did.
    relaying : int
        Attempts that the sender relays for its peers.
    most_hosts : tuple
        Largest number of hosts that the sender has known of late, 0 if it knows none,
        and the seconds since it was known.
    trials : dict of str to RolloutEvidence
        Evidence on the roll-outs in progress, by service.
    kept_ages_s : dict of str to float
        Sessions that stay on an old version against their hash, and the time since
        their last request, by digest.
    tables : dict of str to TableDelta
        Objects that the receiver lacks, by kind.
    """

    host: str
    incarnation: int
    address: str
    data_centre: str
    heads: dict[str, Head]
    peers: dict[str, tuple[str, float]] = {}
    neighbours: list[str] = []
    link_mbps: float = 0.0
    links: dict[str, float] = {}
    centres: dict[str, CentreSummary] = {}
    brief: bool = False
    staleness_s: float | None = None
    store_lost: bool = False
    load: dict[str, float] = {}
    centre_load: dict[str, float] = {}
    crash_reports: list[CrashReport] = []
    sound_ages_s: dict[str, float] = {}
    held_ages_s: dict[str, float] = {}
    alive_ages_s: dict[str, float] = {}
    limits: list[LimitReport] = []
    departures: list[DepartureReport] = []
    reached: dict[str, float] = {}
    relaying: int = 0
    most_hosts: tuple[int, float] = (0, 0.0)
    trials: dict[str, RolloutEvidence] = {}
    kept_ages_s: dict[str, float] = {}
    tables: dict[str, TableDelta] = {}
