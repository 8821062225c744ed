"""Consistency checks that involve several entries of a catalogue."""

from collections.abc import Callable, Iterator

import radishshift.mixing  # noqa: F401 - registers its planner
from radishshift.balance import balancer_names
from radishshift.cascade import planner_names
from radishshift.catalogue import Catalogue, VersionState
from radishshift.contracts import BLANK_KEY_DIGEST
from radishshift.policy_parameters import parameter_problems

__all__ = ["cross_entry_problems"]

Check = Callable[[Catalogue], Iterator[str]]

_CHECKS: list[Check] = []


def _register_check(func: Check) -> Check:
    _CHECKS.append(func)
    return func


def cross_entry_problems(catalogue: Catalogue) -> list[str]:
    """Return a message for each inconsistency, starting with what it concerns."""
    return [problem for check in _CHECKS for problem in check(catalogue)]


@_register_check
def _allowed_names_exist(catalogue: Catalogue) -> Iterator[str]:
    models = {version.model for version in catalogue.versions.values()}
    known = models | set(catalogue.versions) | set(catalogue.services)
    for contract in catalogue.contracts.values():
        for name in sorted(contract.allowed - known):
            yield f"{contract.customer}.allowed: no model, version or service {name}"


@_register_check
def _task_classes_exist(catalogue: Catalogue) -> Iterator[str]:
    for contract in catalogue.contracts.values():
        for name in sorted({contract.default_class, *contract.quality}):
            if name not in catalogue.task_classes:
                yield f"{contract.customer}: unknown task class {name}"
    for service in catalogue.services.values():
        if service.task_class not in catalogue.task_classes:
            yield f"{service.name}.taskClass: unknown task class {service.task_class}"


@_register_check
def _floors_are_below_targets(catalogue: Catalogue) -> Iterator[str]:
    for contract in catalogue.contracts.values():
        for name, quality in contract.quality.items():
            if quality.floor > quality.target:
                yield f"{contract.customer}.quality.{name}: floor is above target"


@_register_check
def _keys_belong_to_one_customer(catalogue: Catalogue) -> Iterator[str]:
    owners: dict[str, str] = {}
    for contract in catalogue.contracts.values():
        for digest in contract.key_digests:
            owner = owners.setdefault(digest, contract.customer)
            if owner != contract.customer:
                yield (
                    f"{contract.customer}.keyDigests: an API key also belongs to "
                    f"{owner}"
                )


@_register_check
def _keys_are_not_blank(catalogue: Catalogue) -> Iterator[str]:
    for contract in catalogue.contracts.values():
        if BLANK_KEY_DIGEST in contract.key_digests:
            yield f"{contract.customer}.keyDigests: the digest of a blank API key"


@_register_check
def _versions_are_named_after_their_model(catalogue: Catalogue) -> Iterator[str]:
    for version in catalogue.versions.values():
        if not version.name.startswith(version.model + "."):
            yield f"{version.name}: the name must be `{version.model}.VERSION`"


@_register_check
def _canaries_have_a_stable_version(catalogue: Catalogue) -> Iterator[str]:
    for version in catalogue.versions.values():
        if version.state is not VersionState.CANARY:
            continue
        stable = catalogue.versions.get(version.stable)
        if stable is None or stable.model != version.model:
            yield f"{version.name}.stable: must name a version of {version.model}"


@_register_check
def _policies_are_registered(catalogue: Catalogue) -> Iterator[str]:
    policies = catalogue.policies
    if policies.planner not in planner_names():
        yield f"planner: unknown planner {policies.planner}"
    if policies.balancer not in balancer_names():
        yield f"balancer: unknown balancer {policies.balancer}"


@_register_check
def _parameters_are_known(catalogue: Catalogue) -> Iterator[str]:
    yield from parameter_problems(catalogue.policies.parameters)
