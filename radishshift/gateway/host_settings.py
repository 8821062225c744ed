"""What a host on the platform is told at its start and when its settings change."""

from dataclasses import dataclass

__all__ = ["Bounds", "GatewaySettings"]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times and shares that the deployment is held to.

    Attributes
    ----------
    contact_s : float
        Time without trouble after which a host counts as in touch.
    drain_s : float
        Time after which a leaving endpoint may get nothing new.
    stop_s : float
        Time from the signal to stop until the process is killed.
    config_s : float
        Time in which a configuration is in force.
    retry_ratio, retry_window_s, retry_slack : float
        Repeats for each request in a window, and those that come on top, of all
        hosts together.
    exposure_share, exposure_slack : float
        Part of a service's requests that a bad version may get, and the number
        that comes on top.
    roll_back_s : float
        Time from the 50th bad answer until a version gets nothing more.
    event_s : float
        Time within which an event of a stream reaches the caller.
    session_s : float
        Pause after which a session has ended.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    stop_s: float = 8.0
    config_s: float = 2.0
    retry_ratio: float = 0.9
    retry_window_s: float = 10.0
    retry_slack: float = 52.0
    exposure_share: float = 0.15
    exposure_slack: float = 30.0
    roll_back_s: float = 5.0
    event_s: float = 0.12
    session_s: float = 5.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one host.

    Addresses are IP:PORT; `memory_bytes` and `descriptors` bound the process.
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
    descriptors: int = 1024
    memory_bytes: int = 150_000_000
    bounds: Bounds = Bounds()
