"""Data model of the catalogue: versions, services, contracts, classes and policies."""

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from radishshift.contracts import Contract, Limits, TaskClass
from radishshift.endpoints import Endpoint

__all__ = [
    "ANY_MODEL",
    "Catalogue",
    "ModelVersion",
    "Policies",
    "RolloutPolicy",
    "Route",
    "Service",
    "VersionState",
]


ANY_MODEL = "auto"  # model name of requests that leave the choice to the router


class VersionState(enum.StrEnum):
    """State of a version; the first five follow the order of a roll-out.

    A version on hold (`HELD`) serves no requests until it is put back into `CANARY` or
    is withdrawn.
    """

    PROPOSED = "proposed"
    CANARY = "canary"
    SERVING = "serving"
    RETIRING = "retiring"
    WITHDRAWN = "withdrawn"
    HELD = "held"

    @property
    def accepts_new_sessions(self) -> bool:
        """Whether requests without a session may be routed to the version."""
        return self in (VersionState.CANARY, VersionState.SERVING)

    @property
    def keeps_sessions(self) -> bool:
        """Whether sessions that already use the version may continue to use it."""
        return self.accepts_new_sessions or self is VersionState.RETIRING

    @property
    def next_states(self) -> tuple["VersionState", ...]:
        """States that a version in this state may change to."""
        return _NEXT_STATES[self]


_NEXT_STATES = {
    VersionState.PROPOSED: (VersionState.CANARY, VersionState.WITHDRAWN),
    VersionState.CANARY: (
        VersionState.SERVING,
        VersionState.HELD,
        VersionState.WITHDRAWN,
    ),
    VersionState.SERVING: (
        VersionState.RETIRING,
        VersionState.HELD,
        VersionState.WITHDRAWN,
    ),
    VersionState.RETIRING: (VersionState.SERVING, VersionState.WITHDRAWN),
    VersionState.HELD: (VersionState.CANARY, VersionState.WITHDRAWN),
    VersionState.WITHDRAWN: (),
}


@dataclass(frozen=True, slots=True)
class RolloutPolicy:
    """How a version replaces its stable version by a stepwise roll-out.

    Attributes
    ----------
    steps : tuple of float
        Increasing shares of the stable version's new requests.
    step_s : float
        Minimum duration of a step, in seconds.
    step_attempts : int
        Minimum number of attempts in a step.
    retire_s : float
        Time that sessions of the old version get to end, in seconds.
    """

    steps: tuple[float, ...]
    step_s: float
    step_attempts: int
    retire_s: float


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """One version of a model.

    Attributes
    ----------
    name : str
        `model.version`, such as `farm-advice-large.v2`.
    model : str
    owner : str
    state : VersionState
    canary_share : float
        Share of the stable version's new requests that this version gets in state
        `canary`, from 0 to 1.
    stable : str
        Version that a canary is compared with; empty for none.
    prompt_price, completion_price : int
        Price of a token in billionths of the currency unit.
    quality : mapping of str to float
        Quality expected before there are ratings, by task class, from 0 to 1.
    limits : Limits
    rollout : RolloutPolicy or None
        None for a version whose state is changed by operators only.
    """

    name: str
    model: str
    owner: str
    state: VersionState
    canary_share: float
    stable: str
    prompt_price: int
    completion_price: int
    quality: Mapping[str, float]
    limits: Limits
    rollout: RolloutPolicy | None = None

    def cost(self, prompt_tokens: int, completion_tokens: int) -> int:
        """Return the price of one attempt in billionths of the currency unit."""
        prompt_cost = prompt_tokens * self.prompt_price
        return prompt_cost + completion_tokens * self.completion_price


@dataclass(frozen=True, slots=True)
class Route:
    """One kind of call to a plain service.

    Attributes
    ----------
    method : str
    path_prefix : str
    idempotent : bool
        Whether the call may be retried.
    """

    method: str
    path_prefix: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service, not a model, that requests are routed to.

    Attributes
    ----------
    name : str
    owner : str
    routes : tuple of Route
        The route with the longest matching prefix applies; calls that match none are
        refused.
    call_price : int
        Price of a call in billionths of the currency unit.
    task_class : str
    limits : Limits
    """

    name: str
    owner: str
    routes: tuple[Route, ...]
    call_price: int
    task_class: str
    limits: Limits

    def route(self, method: str, path: str) -> Route | None:
        """Return the route that matches a call, or None."""
        matching_routes = [
            route
            for route in self.routes
            if route.method == method and path.startswith(route.path_prefix)
        ]
        return max(
            matching_routes, key=lambda route: len(route.path_prefix), default=None
        )


@dataclass(frozen=True, slots=True)
class Policies:
    """Names of the policies in use; each is looked up in its registry.

    Attributes
    ----------
    planner : str
        Policy that chooses versions; see `cascade`.
    balancer : str
        Policy that chooses endpoints; see `balance`.
    parameters : mapping of str to float
        Parameters of policies, by `policy.parameter`.
    """

    planner: str = "cheapest-sufficient"
    balancer: str = "bounded-affinity"
    parameters: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Catalogue:
    """Immutable snapshot of all entries at one revision.

    Attributes
    ----------
    revision : int
        Highest revision of the platform that the snapshot contains.
    versions, services, contracts, task_classes, endpoints : mapping by name
    policies : Policies
    by_key_digest : mapping of str to Contract
        Contracts by the digests of their API keys.
    evacuated : frozenset of str
        Data centres whose endpoints get no attempts, by order of the operators.
    """

    revision: int = 0
    versions: Mapping[str, ModelVersion] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    contracts: Mapping[str, Contract] = field(default_factory=dict)
    task_classes: Mapping[str, TaskClass] = field(default_factory=dict)
    endpoints: Mapping[str, Endpoint] = field(default_factory=dict)
    policies: Policies = field(default_factory=Policies)
    by_key_digest: Mapping[str, Contract] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()

    def endpoints_of(self, served: str) -> Iterator[Endpoint]:
        """Yield the endpoints that accept attempts for a version or service."""
        for endpoint in self.endpoints.values():
            usable = endpoint.data_centre not in self.evacuated
            if usable and served in endpoint.serves and endpoint.accepts_attempts():
                yield endpoint

    def allowed_versions(self, contract: Contract) -> Iterator[ModelVersion]:
        """Yield the versions that a contract allows, in any state."""
        for version in self.versions.values():
            if version.name in contract.allowed or version.model in contract.allowed:
                yield version
