"""Settings of a gateway host."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Bounds", "GatewaySettings"]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits agreed for the fleet.

    Attributes
    ----------
    drain_s : float
        Time after an endpoint was marked as draining, from which it may receive no new
        requests.
    stop_s : float
        Time from the signal to stop until the process is killed.
    config_deadline_s : float
        Time from the storing of a configuration until all hosts must apply it.
    retry_ratio, retry_window_s, retry_slack : float
        Retry budget of all hosts together: within a window, `retry_ratio` retries
        for each request, and `retry_slack` more.
    exposure_share : float
        Share of a service's requests that a bad version may receive.
    event_latency_s : float
        Time within which the event of a stream must reach the caller.
    session_gap_s : float
        A session ends when this time has passed since its last request.
    evacuation_s : float
        Time from the order to empty a data centre until its endpoints may receive no
        requests; 0 if there are no such orders.
    """

    drain_s: float = 2.0
    stop_s: float = 8.0
    config_deadline_s: float = 2.0
    retry_ratio: float = 0.9
    retry_window_s: float = 10.0
    retry_slack: float = 52.0
    exposure_share: float = 0.15
    event_latency_s: float = 0.12
    session_gap_s: float = 5.0
    evacuation_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one host; addresses are IP:PORT.

    Attributes
    ----------
    ready_address, metrics_address : str
        Where load balancers check readiness and where metrics are scraped.
    peer_address : str
        Where gossip messages of other hosts are received.
    seeds : tuple of str
        Peer addresses of the hosts to contact first.
    link_mbps : float
        Bandwidth of the host's link in Mbit/s, 0 if unknown.
    memory_mb : float
        Memory limit of the process in MB, 0 if there is none.
    max_fds : int
        Limit of the process's descriptors, 0 if there is none.
    regions : mapping of str to str
        Regions of the data centres.
    """

    host: str
    ip: str
    data_centre: str
    region: str
    caller_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    seeds: tuple[str, ...] = ()
    bounds: Bounds = Bounds()
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0
    regions: Mapping[str, str] = field(default_factory=dict)
