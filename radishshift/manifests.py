"""Schemas of the catalogue's entries and of the platform's endpoint and host lists.

An entry is a JSON object whose `type` selects one of the specs below. Keys are in camel
case and end in the unit, if any. Unknown keys are rejected.
"""

from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from radishshift.catalogue import (
    Catalogue,
    ModelVersion,
    Policies,
    RolloutPolicy,
    Route,
    Service,
    VersionState,
)
from radishshift.contracts import (
    Contract,
    Limits,
    Objectives,
    QualityTarget,
    TaskClass,
)
from radishshift.endpoints import Endpoint, EndpointState
from radishshift.hosts import HostState
from radishshift.objects import Kind, StoredObject
from radishshift.validation import validated

__all__ = [
    "CustomerSpec",
    "EndpointSpec",
    "EntrySpec",
    "EvacuationSpec",
    "HostSpec",
    "PolicySpec",
    "ServiceSpec",
    "TaskClassSpec",
    "VersionSpec",
    "build_catalogue",
    "read_endpoint",
    "read_entry",
    "read_host",
]

QUEUE_DEADLINE_SHARE = 0.25
URGENT_QUEUE_FIRST_TOKEN_SHARE = 2 / 3  # for classes of priority 0

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Price = Annotated[int, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="camel"):
    """Base class of external data: camel-case keys, unknown keys rejected."""


class LimitsSpec(Manifest, frozen=True):
    """Limits of an entry; see `contracts.Limits`.

    The defaults are so high that they do not limit anything in practice.
    """

    requests_per_s: Amount = 1e9
    tokens_per_s: Amount = 1e9
    concurrency: Count = 1_000_000

    def limits(self) -> Limits:
        """Convert to `Limits`."""
        return Limits(self.requests_per_s, self.tokens_per_s, self.concurrency)


class EntryBase(Manifest, frozen=True, kw_only=True):
    """Fields that all catalogue entries have.

    `class_` is the entry's class of service, not its task class. It is shown to
    operators and reports are grouped by it; it does not affect routing.
    """

    owner: str
    class_: str = msgspec.field(name="class")
    limits: LimitsSpec = LimitsSpec()


class RolloutSpec(Manifest, frozen=True):
    """How a version is rolled out; see `catalogue.RolloutPolicy`."""

    steps: tuple[Share, ...] = (0.001, 0.01, 0.05, 0.2, 0.5)
    step_s: Amount = 120.0
    step_attempts: Count = 200
    retire_s: Amount = 3600.0

    def policy(self) -> RolloutPolicy:
        """Convert to `RolloutPolicy`."""
        return RolloutPolicy(
            tuple(sorted(self.steps)), self.step_s, self.step_attempts, self.retire_s
        )


class VersionSpec(
    EntryBase, frozen=True, kw_only=True, tag_field="type", tag="version"
):
    """A version of a model; see `catalogue.ModelVersion`."""

    model: Name
    state: VersionState = VersionState.PROPOSED
    canary_share: Share = 0.0
    stable: str = ""
    prompt_price_nano: Price
    completion_price_nano: Price
    quality: dict[str, Share] = {}
    rollout: RolloutSpec | None = None

    def version(self, name: str) -> ModelVersion:
        """Convert to `ModelVersion`."""
        return ModelVersion(
            name=name,
            model=self.model,
            owner=self.owner,
            state=self.state,
            canary_share=self.canary_share,
            stable=self.stable,
            prompt_price=self.prompt_price_nano,
            completion_price=self.completion_price_nano,
            quality=self.quality,
            limits=self.limits.limits(),
            rollout=None if self.rollout is None else self.rollout.policy(),
        )


class RouteSpec(Manifest, frozen=True, kw_only=True):
    """A route of a service; see `catalogue.Route`."""

    method: str
    path_prefix: str
    idempotent: bool = False

    def route(self) -> Route:
        """Convert to `Route`."""
        return Route(self.method, self.path_prefix, self.idempotent)


class ServiceSpec(
    EntryBase, frozen=True, kw_only=True, tag_field="type", tag="service"
):
    """A plain service; see `catalogue.Service`."""

    routes: list[RouteSpec]
    call_price_nano: Price = 0
    task_class: str

    def service(self, name: str) -> Service:
        """Convert to `Service`."""
        return Service(
            name=name,
            owner=self.owner,
            routes=tuple(route.route() for route in self.routes),
            call_price=self.call_price_nano,
            task_class=self.task_class,
            limits=self.limits.limits(),
        )


class QualitySpec(Manifest, frozen=True):
    """A quality target; see `contracts.QualityTarget`."""

    target: Share
    floor: Share = 0.0


class CustomerSpec(
    EntryBase, frozen=True, kw_only=True, tag_field="type", tag="customer"
):
    """A customer; see `contracts.Contract`."""

    key_digests: list[Digest]
    allowed: list[str]
    weight: Amount = 1.0
    quality: dict[str, QualitySpec] = {}
    default_class: str

    def contract(self, name: str) -> Contract:
        """Convert to `Contract`."""
        quality = {
            task_class: QualityTarget(spec.target, spec.floor)
            for task_class, spec in self.quality.items()
        }
        return Contract(
            customer=name,
            key_digests=tuple(self.key_digests),
            allowed=frozenset(self.allowed),
            weight=self.weight,
            limits=self.limits.limits(),
            quality=quality,
            default_class=self.default_class,
        )


class ObjectivesSpec(Manifest, frozen=True):
    """Objectives of a task class; see `contracts.Objectives`."""

    first_token_s: Amount = 0.75
    between_tokens_s: Amount = 0.058
    whole_answer_s: Amount = 60.0
    objective: Share = 0.95

    def objectives(self) -> Objectives:
        """Convert to `Objectives`."""
        return Objectives(
            self.first_token_s,
            self.between_tokens_s,
            self.whole_answer_s,
            self.objective,
        )


class TaskClassSpec(
    EntryBase, frozen=True, kw_only=True, tag_field="type", tag="task-class"
):
    """A task class; see `contracts.TaskClass`.

    If `queue_s` is not set, requests may be queued for a quarter of the class's default
    deadline, or for two thirds of `objectives.first_token_s` in a class of priority 0.
    """

    priority: Count
    deadline_s: Amount
    cascade: bool = False
    cancel_on_hang_up: bool = False
    objectives: ObjectivesSpec = ObjectivesSpec()
    queue_s: Amount | None = None

    def task_class(self, name: str) -> TaskClass:
        """Convert to `TaskClass`."""
        return TaskClass(
            name,
            self.priority,
            self.deadline_s,
            self.cascade,
            self.objectives.objectives(),
            self.cancel_on_hang_up,
            self._default_queue_s() if self.queue_s is None else self.queue_s,
        )

    def _default_queue_s(self) -> float:
        if self.priority == 0:
            return URGENT_QUEUE_FIRST_TOKEN_SHARE * self.objectives.first_token_s
        return QUEUE_DEADLINE_SHARE * self.deadline_s


class PolicySpec(EntryBase, frozen=True, kw_only=True, tag_field="type", tag="policy"):
    """The policies in use; see `catalogue.Policies`."""

    planner: str = Policies().planner
    balancer: str = Policies().balancer
    parameters: dict[str, float] = {}

    def policies(self) -> Policies:
        """Convert to `Policies`."""
        return Policies(self.planner, self.balancer, self.parameters)


class EvacuationSpec(
    EntryBase, frozen=True, kw_only=True, tag_field="type", tag="evacuation"
):
    """An order to send nothing to the endpoints of a data centre while it exists."""

    data_centre: Name


class EndpointSpec(Manifest, frozen=True, kw_only=True):
    """An endpoint in the platform's list; see `endpoints.Endpoint`."""

    address: str
    data_centre: Name
    serves: list[str]
    slots: Annotated[int, msgspec.Meta(ge=1)] = 8
    checks_fencing: bool = False
    state: EndpointState = EndpointState.LIVE

    def endpoint(self, name: str) -> Endpoint:
        """Convert to `Endpoint`."""
        return Endpoint(
            name,
            self.address,
            self.data_centre,
            frozenset(self.serves),
            self.slots,
            self.checks_fencing,
            self.state,
        )


class HostSpec(Manifest, frozen=True, kw_only=True):
    """An entry host in the platform's list; see `hosts.Host`."""

    data_centre: Name
    region: str
    peer_address: str
    monitoring_address: str = ""
    state: HostState = HostState.LIVE


EntrySpec = (
    VersionSpec
    | ServiceSpec
    | CustomerSpec
    | TaskClassSpec
    | PolicySpec
    | EvacuationSpec
)


def read_entry(name: str, spec: dict[str, Any]) -> EntrySpec:
    """Validate the spec of a catalogue entry.

    Raises
    ------
    SettingsError
    """
    return validated(spec, EntrySpec, name)


def read_endpoint(name: str, spec: dict[str, Any]) -> EndpointSpec:
    """Validate the spec of an endpoint.

    Raises
    ------
    SettingsError
    """
    return validated(spec, EndpointSpec, name)


def read_host(name: str, spec: dict[str, Any]) -> HostSpec:
    """Validate the spec of an entry host.

    Raises
    ------
    SettingsError
    """
    return validated(spec, HostSpec, name)


def build_catalogue(revision: int, items: Iterable[StoredObject]) -> Catalogue:
    """Build a catalogue from catalogue entries and endpoints.

    Raises
    ------
    SettingsError
        An entry or endpoint is not valid.
    """
    versions = {}
    services = {}
    contracts = {}
    task_classes = {}
    endpoints = {}
    policies = Policies()
    evacuated = set()
    for item in items:
        if item.kind is Kind.ENDPOINT:
            endpoint_spec = read_endpoint(item.name, item.spec)
            endpoints[item.name] = endpoint_spec.endpoint(item.name)
            continue
        match read_entry(item.name, item.spec):
            case VersionSpec() as spec:
                versions[item.name] = spec.version(item.name)
            case ServiceSpec() as spec:
                services[item.name] = spec.service(item.name)
            case CustomerSpec() as spec:
                contracts[item.name] = spec.contract(item.name)
            case TaskClassSpec() as spec:
                task_classes[item.name] = spec.task_class(item.name)
            case PolicySpec() as spec:
                policies = spec.policies()
            case EvacuationSpec() as spec:
                evacuated.add(spec.data_centre)
    by_key_digest = {
        digest: contract
        for contract in contracts.values()
        for digest in contract.key_digests
    }
    return Catalogue(
        revision,
        versions,
        services,
        contracts,
        task_classes,
        endpoints,
        policies,
        by_key_digest,
        frozenset(evacuated),
    )
