"""The catalogue in force: versions, services, contracts, classes and policies."""

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


ANY_MODEL = "auto"


class VersionState(enum.StrEnum):
    """State of a version, in the order of a roll-out."""

    PROPOSED = "proposed"
    CANARY = "canary"
    SERVING = "serving"
    RETIRING = "retiring"
    WITHDRAWN = "withdrawn"
    HELD = "held"

    @property
    def accepts_new_sessions(self) -> bool:
        """Tell whether a request without a session may go to the version."""
        return self in (VersionState.CANARY, VersionState.SERVING)

    @property
    def keeps_sessions(self) -> bool:
        """Tell whether a session that has the version may go on with it."""
        return self.accepts_new_sessions or self is VersionState.RETIRING

    @property
    def next_states(self) -> tuple["VersionState", ...]:
        """Return the states that a version may go to from this one."""
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
    """How a version is rolled out in place of its stable one.

    Attributes
    ----------
    steps : tuple of float
        Shares of the stable version's new requests, rising.
    step_s : float
        Least time that a step is watched, in seconds.
    step_attempts : int
        Least number of attempts that a step is watched for.
    retire_s : float
        Time that the old version's sessions get, in seconds.
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
        Share of the model's new requests while in `canary`, from 0 to 1.
    stable : str
        Version that a canary is compared with; empty for none.
    prompt_price, completion_price : int
        Price of a token in billionths of the currency unit.
    quality : mapping of str to float
        Quality expected before ratings come in, by task class, from 0 to 1.
    limits : Limits
    rollout : RolloutPolicy or None
        None for a version that operators move by hand.
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
    """One call of a plain service.

    Attributes
    ----------
    method : str
    path_prefix : str
    idempotent : bool
        Whether the call may be repeated.
    """

    method: str
    path_prefix: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service that is routed to beside the models.

    Attributes
    ----------
    name : str
    owner : str
    routes : tuple of Route
        The longest prefix that fits decides; a call that fits none is refused.
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
        """Return the route of a call, or None."""
        fitting = [
            route
            for route in self.routes
            if route.method == method and path.startswith(route.path_prefix)
        ]
        return max(fitting, key=lambda route: len(route.path_prefix), default=None)


@dataclass(frozen=True, slots=True)
class Policies:
    """Names of the policies in use; each is looked up in its registry.

    Attributes
    ----------
    planner : str
        Chooses versions; see `cascade`.
    balancer : str
        Chooses endpoints; see `balance`.
    parameters : mapping of str to float
        Settings of policies, by `policy.parameter`.
    """

    planner: str = "cheapest-sufficient"
    balancer: str = "bounded-affinity"
    parameters: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Catalogue:
    """All entries at one revision; replaced whole, never changed.

    Attributes
    ----------
    revision : int
        Highest revision of the platform that it holds.
    versions, services, contracts, classes, endpoints : mapping by name
    policies : Policies
    """

    revision: int = 0
    versions: Mapping[str, ModelVersion] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    contracts: Mapping[str, Contract] = field(default_factory=dict)
    classes: Mapping[str, TaskClass] = field(default_factory=dict)
    endpoints: Mapping[str, Endpoint] = field(default_factory=dict)
    policies: Policies = field(default_factory=Policies)
    by_key_digest: Mapping[str, Contract] = field(default_factory=dict)

    def endpoints_of(self, served: str) -> Iterator[Endpoint]:
        """Yield the endpoints that take work for a version or service."""
        for endpoint in self.endpoints.values():
            if served in endpoint.serves and endpoint.accepts_attempts():
                yield endpoint

    def allowed_versions(self, contract: Contract) -> Iterator[ModelVersion]:
        """Yield the versions that a contract allows, whatever their state."""
        for version in self.versions.values():
            if version.name in contract.allowed or version.model in contract.allowed:
                yield version
