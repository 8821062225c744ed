"""What operators have put in force, and the endpoints that carry it out."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from radishshift.endpoints import EndpointState

__all__ = [
    "Customer",
    "Deployment",
    "Member",
    "Rollout",
    "RolloutState",
    "Route",
    "RouteKind",
    "Service",
    "ServiceShare",
]


class RouteKind(enum.StrEnum):
    """What may be done again with a request of a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight among those that a route is split over."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests that are treated alike, found by host name and path.

    Attributes
    ----------
    name, host, prefix : str
        `prefix` begins and ends with a slash.
    kind : RouteKind
    shares : tuple of ServiceShare
    timeout_s : float
        Longest time that a caller is kept waiting.
    objective_s : float
        Time to the answer, or to a stream's first event, that is on time.
    endpoints_max : int
        Endpoints that one request may be sent to.
    priority : int
        0 is the most urgent.
    public : bool
        Whether no key is asked for.
    resumable : bool
        Whether a stream may go on at another endpoint.
    models : tuple of str
        Models to choose from, smallest first; empty if the caller names one.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    endpoints_max: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    models: tuple[str, ...] = ()

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service or a pool of model engines.

    Attributes
    ----------
    model_costs : mapping of str to float
        Price of 1,000 generated tokens by model; empty for a plain service.
    """

    name: str
    model_costs: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Customer:
    """Whom a key belongs to; a priority of its own goes before the route's."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        A higher one replaces a lower one, never the other way round.
    customers : mapping of str to Customer
        By key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    customers: Mapping[str, Customer]


@dataclass(frozen=True, slots=True)
class Member:
    """An endpoint of a service as it describes itself.

    Attributes
    ----------
    name : str
    service, address, data_centre : str
        `address` is IP:PORT.
    version : str
        Version of the software or the weights that it runs.
    slots : int
    born_ms : int
        Start of this incarnation, milliseconds since the epoch.
    state : EndpointState
    """

    name: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    born_ms: int = 0
    state: EndpointState = EndpointState.LIVE

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what tells this start of the endpoint from others."""
        return self.name, self.born_ms


class RolloutState(enum.StrEnum):
    """How far a roll-out is."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"

    @property
    def ended(self) -> bool:
        """Tell whether nothing is left to decide."""
        return self in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class Rollout:
    """An order to move a service's traffic to a version.

    Attributes
    ----------
    service, target : str
    duration_s : float
        Time from the order within which it is to end.
    state : RolloutState
    revision : int
        Revision of the object that was read.
    """

    service: str
    target: str
    duration_s: float
    state: RolloutState
    revision: int
