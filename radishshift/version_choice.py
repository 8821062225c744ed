"""Which versions a request may run on: by contract, state, session and roll-out."""

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

RETRY_AFTER_S = 1.0


def check_version(catalogue: Catalogue, name: str) -> None:
    """Check that a version still takes work.

    Raises
    ------
    WithdrawnError
    """
    version = catalogue.versions.get(name)
    if version is None or not version.state.keeps_sessions:
        raise WithdrawnError(f"{name} was withdrawn")


def session_version(
    catalogue: Catalogue, req: ModelRequest, session: Session
) -> ModelVersion:
    """Return the version that a session keeps.

    Raises
    ------
    WithdrawnError
        It takes no work any more.
    NotAllowedError
        The contract does not allow it any more.
    """
    version = catalogue.versions.get(session.version)
    if version is None or not version.state.keeps_sessions:
        raise WithdrawnError(f"the session's version {session.version} has ended")
    if version not in catalogue.allowed_versions(req.contract):
        raise NotAllowedError(f"{session.version} is no longer allowed")
    return version


def eligible_versions(
    catalogue: Catalogue, req: ModelRequest, stopped: Set[str]
) -> tuple[ModelVersion, ...]:
    """Return the versions that a request without a session may be planned on.

    Parameters
    ----------
    catalogue : Catalogue
    req : ModelRequest
    stopped : set of str
        Versions that this host's guard has stopped.

    Raises
    ------
    WithdrawnError, NotFoundError, NotAllowedError, NoEndpointError
        There is none, and why.
    """
    named = catalogue.versions.get(req.model)
    if named is not None and not named.state.keeps_sessions:
        raise WithdrawnError(f"{req.model} takes no work: it is {named.state}")
    found = [
        version
        for version in _candidates(catalogue, req)
        if version.name not in stopped
    ]
    found = _filter_canaries(req, found)
    if not found:
        _refuse(catalogue, req)
    return tuple(found)


def _asked_for(catalogue: Catalogue, req: ModelRequest) -> Iterator[ModelVersion]:
    for version in catalogue.allowed_versions(req.contract):
        if req.model in (ANY_MODEL, version.model, version.name):
            yield version


def _candidates(catalogue: Catalogue, req: ModelRequest) -> Iterator[ModelVersion]:
    for version in _asked_for(catalogue, req):
        if version.state.takes_new_sessions and any(
            catalogue.endpoints_of(version.name)
        ):
            yield version


def _filter_canaries(
    req: ModelRequest, found: list[ModelVersion]
) -> list[ModelVersion]:
    """Leave out canaries: those with a stable version come in its place."""
    names = {version.name for version in found}
    if req.model in names:
        return found
    return [
        version
        for version in found
        if version.state is not VersionState.CANARY
        or (version.stable not in names and is_canary_request(req.request_id, version))
    ] or [version for version in found if version.stable not in names]


def _refuse(catalogue: Catalogue, req: ModelRequest) -> None:
    known = {version.model for version in catalogue.versions.values()}
    if req.model not in known | set(catalogue.versions) | {ANY_MODEL}:
        raise NotFoundError(f"no model {req.model}")
    if not any(_asked_for(catalogue, req)):
        raise NotAllowedError(f"the contract does not allow {req.model}")
    raise NoEndpointError(
        f"no endpoint serves {req.model}", retry_after_s=RETRY_AFTER_S
    )


def substitute_canaries(
    catalogue: Catalogue,
    req: ModelRequest,
    steps: Iterable[PlanStep],
    stopped: Set[str],
) -> tuple[PlanStep, ...]:
    """Put a canary in its stable version's place, for its share of requests.

    The plan is made first, so that both versions get the same kinds of work.
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
