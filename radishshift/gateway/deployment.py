"""Data model of the configuration in force, the endpoints and the roll-outs."""

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from radishshift.caller_limits import CallerLimits
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
    "is_api_key",
]

_DEFAULT_LIMITS = CallerLimits()


class RouteKind(enum.StrEnum):
    """Whether and how requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Handling of the requests that match a host name and a path prefix.

    Attributes
    ----------
    name, host, prefix : str
        `prefix` begins and ends with a slash.
    kind : RouteKind
    shares : tuple of ServiceShare
        Empty for a route that could not be read or has no service with a weight;
        its requests are refused.
    timeout_s : float
        Longest time until a request is answered, if only with an error.
    objective_s : float
        Objective for the time to the answer, or to a stream's first event.
    endpoints_max : int
        Number of endpoints that one request may be sent to.
    priority : int
        0 is the most urgent.
    public : bool
        Whether requests need no API key.
    resumable : bool
        Whether a broken stream may be resumed at another endpoint.
    models : tuple of str
        Models to choose from, smallest first; empty if the caller names one.
    regions : tuple of str or None
        Regions in which its requests may run; None for all.
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
    regions: tuple[str, ...] | None = None

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
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
    memory_tokens : float
        Memory of an engine for running requests and what it holds of prompts; infinite
        if none is stated.
    cold_start_s : float
        Time for which an endpoint is cold after its start.
    cold_per_s : float
        Requests per second that a cold endpoint bears from all hosts together, 0 if no
        bound is stated.
    """

    name: str
    model_costs: Mapping[str, float] = field(default_factory=dict)
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    memory_tokens: float = math.inf


@dataclass(frozen=True, slots=True)
class Customer:
    """Owner of an API key.

    Attributes
    ----------
    name : str
    priority : int or None
        Overrides that of the route, if set.
    regions : tuple of str or None
        Regions in which its requests may run; None for all.
    """

    name: str
    priority: int | None = None
    regions: tuple[str, ...] | None = None


def is_api_key(key: str) -> bool:
    """Return whether a text can be an API key: one of blanks reads like none."""
    return bool(key.strip())


@dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        A deployment is only ever replaced by one of a higher version.
    customers : mapping of str to Customer
        By API key.
    keys_required : bool
        Whether requests need an API key, also while no customer holds one.
    limits : CallerLimits
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    customers: Mapping[str, Customer]
    keys_required: bool = True
    limits: CallerLimits = _DEFAULT_LIMITS

    def customer_of(self, key: str) -> Customer | None:
        """Return the customer that holds an API key, None for a blank key."""
        return self.customers.get(key) if is_api_key(key) else None


@dataclass(frozen=True, slots=True)
class Member:
    """An endpoint of a service, as it registered itself.

    Attributes
    ----------
    name : str
    service, address, data_centre : str
        `address` is IP:PORT.
    version : str
        Version of its software or model weights.
    slots : int
    born_ms : int
        Start of this incarnation, milliseconds since the epoch.
    state : EndpointState
    cold_left_s : float
        How long it stays cold, counted from its last report.
    """

    name: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    born_ms: int = 0
    state: EndpointState = EndpointState.LIVE
    cold_left_s: float = 0.0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the key that distinguishes this start of the endpoint from others."""
        return self.name, self.born_ms


class RolloutState(enum.StrEnum):
    """Progress of a roll-out."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"

    @property
    def ended(self) -> bool:
        """Return whether the roll-out has reached a final state."""
        return self in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class Rollout:
    """An order to move a service's traffic to a version.

    Attributes
    ----------
    service, target : str
    duration_s : float
        Time after the order within which it must end.
    state : RolloutState
    revision : int
        Revision of the object that was read.
    """

    service: str
    target: str
    duration_s: float
    state: RolloutState
    revision: int
