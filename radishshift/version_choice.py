"""Selects the model versions a request may run on.

The contract, the state of each version, the session and canary roll-outs decide.
"""

from collections.abc import Iterable, Iterator, Set
from dataclasses import replace

from radishshift.cascade import PlanStep
from radishshift.catalogue import ANY_MODEL, Catalogue, ModelVersion, VersionState
from radishshift.errors import (
    NoEndpointError,
    NotAllowedError,
    NotFoundError,
    WithdrawnError,
)
from radishshift.requests import ModelRequest
from radishshift.rollout import is_canary_request
from radishshift.sessions import Session

__all__ = [
    "check_version",
    "eligible_versions",
    "session_version",
    "substitute_canaries",
]

NO_ENDPOINT_RETRY_AFTER_S = 1.0


def check_version(catalogue: Catalogue, name: str) -> None:
    """Check that a version still serves the sessions that it has.

    Raises
    ------
    WithdrawnError
        The version is unknown or in a state that serves no sessions.
    """
    version = catalogue.versions.get(name)
    if version is None or not version.state.keeps_sessions:
        raise WithdrawnError(f"version {name} accepts no requests")


def session_version(
    catalogue: Catalogue, req: ModelRequest, session: Session
) -> ModelVersion:
    """Return the version that a session is pinned to.

    Raises
    ------
    WithdrawnError
        The version is unknown or in a state that serves no sessions.
    NotAllowedError
        The contract no longer allows the version.
    """
    version = catalogue.versions.get(session.version)
    if version is None or not version.state.keeps_sessions:
        raise WithdrawnError(
            f"version {session.version} of the session accepts no requests"
        )
    if version not in catalogue.allowed_versions(req.contract):
        raise NotAllowedError(
            f"the contract no longer allows version {session.version}"
        )
    return version


def eligible_versions(
    catalogue: Catalogue, req: ModelRequest, stopped: Set[str]
) -> tuple[ModelVersion, ...]:
    """Return the versions that a planner may use for a request without a session.

    Parameters
    ----------
    catalogue : Catalogue
    req : ModelRequest
    stopped : set of str
        Versions that the roll-out guard of this host has stopped.

    Raises
    ------
    WithdrawnError, NotFoundError, NotAllowedError, NoEndpointError
        No version is eligible; the type says why.
    """
    named = catalogue.versions.get(req.model)
    if named is not None and not named.state.keeps_sessions:
        raise WithdrawnError(
            f"version {req.model} accepts no requests: its state is {named.state}"
        )
    found = [
        version
        for version in _served_versions(catalogue, req)
        if version.name not in stopped
    ]
    found = _filter_canaries(req, found)
    if not found:
        _raise_refusal(catalogue, req)
    return tuple(found)


def _matching_versions(
    catalogue: Catalogue, req: ModelRequest
) -> Iterator[ModelVersion]:
    for version in catalogue.allowed_versions(req.contract):
        if req.model in (ANY_MODEL, version.model, version.name):
            yield version


def _served_versions(catalogue: Catalogue, req: ModelRequest) -> Iterator[ModelVersion]:
    for version in _matching_versions(catalogue, req):
        if version.state.accepts_new_sessions and any(
            catalogue.endpoints_of(version.name)
        ):
            yield version


def _filter_canaries(
    req: ModelRequest, found: list[ModelVersion]
) -> list[ModelVersion]:
    """Leave out canaries, except where the request names one.

    A canary whose stable version is eligible is left out here: `substitute_canaries`
    puts it in the place of the stable version once the plan is made. A canary without
    one is kept for its share of requests, and for all of them if no other version is
    left.
    """
    names = {version.name for version in found}
    if req.model in names:
        return found
    return [
        version
        for version in found
        if version.state is not VersionState.CANARY
        or (version.stable not in names and is_canary_request(req.request_id, version))
    ] or [version for version in found if version.stable not in names]


def _raise_refusal(catalogue: Catalogue, req: ModelRequest) -> None:
    known = {version.model for version in catalogue.versions.values()}
    if req.model not in known | set(catalogue.versions) | {ANY_MODEL}:
        raise NotFoundError(f"no model or version is named {req.model}")
    if not any(_matching_versions(catalogue, req)):
        raise NotAllowedError(f"the contract does not allow {req.model}")
    raise NoEndpointError(
        f"no endpoint serves {req.model}", retry_after_s=NO_ENDPOINT_RETRY_AFTER_S
    )


def substitute_canaries(
    catalogue: Catalogue,
    req: ModelRequest,
    steps: Iterable[PlanStep],
    stopped: Set[str],
) -> tuple[PlanStep, ...]:
    """Replace stable versions by their canaries, for the canaries' share of requests.

    This happens after planning, so that both versions get the same mix of requests
    and can be compared.
    """
    canaries = {
        version.stable: version
        for version in catalogue.allowed_versions(req.contract)
        if version.state is VersionState.CANARY
        and version.name not in stopped
        and any(catalogue.endpoints_of(version.name))
        and is_canary_request(req.request_id, version)
    }
    return tuple(
        replace(step, version=canaries.get(step.version.name, step.version))
        for step in steps
    )
