"""What a host on the platform is told at its start and when its settings change."""

from dataclasses import dataclass

__all__ = ["Bounds", "GatewaySettings"]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times and shares that the deployment is held to.

    Attributes
    ----------
    drain_s : float
        Time after which a leaving endpoint may get nothing new.
    stop_s : float
        Time from the signal to stop until the process is killed.
    config_deadline_s : float
        Time in which a configuration is in force.
    retry_ratio, retry_window_s, retry_slack : float
        Repeats for each request in a window, and those that come on top, of all
        hosts together.
    exposure_share : float
        Part of a service's requests that a bad version may get.
    event_latency_s : float
        Time within which an event of a stream reaches the caller.
    session_gap_s : float
        Pause after which a session has ended.
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


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one host.

    Addresses are IP:PORT.
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
