"""Gradual roll-out of a new version that replaces a stable one.

All state of a roll-out is stored in the catalogue's entries, so that any host can
continue it after an interruption: the new version's `state` and `canaryShare`, and a
status `{"rollout": {...}}`. During a canary the status holds the `share`, the time
`since` when it is observed, and the number of `attempts` at that time; later it holds
`complete`, or the `reason` why the version is held. The status of the old version holds
the time `retireUntil` until which it keeps its sessions. Each write is conditional on
the revision on which the decision was based; a host that loses a race decides again.
The states are:

    new version: proposed -> canary (each share in turn) -> serving
                             canary -> held, when the guard finds it worse
    old version: serving -> retiring -> withdrawn, once the new version is serving
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import logbook
import xxhash
from transitions import Machine

from radishshift.catalogue import Catalogue, ModelVersion, RolloutPolicy, VersionState
from radishshift.clocks import Clock
from radishshift.errors import ConflictError, NotFoundError, RadishshiftError
from radishshift.guard import Arm, Guard
from radishshift.guard_pool import GuardPool
from radishshift.manifests import VersionSpec, read_entry
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform

__all__ = ["RolloutDriver", "RolloutGuard", "is_canary_request"]

# Trigger, source and target; None is an internal transition, which keeps the state.
TRANSITIONS = [
    ["widen", VersionState.CANARY, None],
    ["complete", VersionState.CANARY, VersionState.SERVING],
    ["hold", VersionState.CANARY, VersionState.HELD],
    ["retire", VersionState.SERVING, VersionState.RETIRING],
    ["withdraw", VersionState.RETIRING, VersionState.WITHDRAWN],
]

logger = logbook.Logger("rollout")


def is_canary_request(request_id: str, canary: ModelVersion) -> bool:
    """Return whether a request goes to the canary; all hosts decide alike."""
    name = f"{canary.name}/{request_id}".encode()
    position = xxhash.xxh64_intdigest(name) / 2**64
    return position < canary.canary_share


def compared_versions(catalogue: Catalogue) -> dict[str, str]:
    """Return the stable version of each version under roll-out."""
    return {
        version.name: version.stable
        for version in catalogue.versions.values()
        if version.state is VersionState.CANARY and version.stable in catalogue.versions
    }


@dataclass(slots=True)
class _ObservedVersion:
    guard: Guard
    share: float
    canary: dict[str, Arm]
    stable: dict[str, Arm]


class RolloutGuard:
    """Monitors versions under roll-out by the pooled counts of all hosts.

    Parameters
    ----------
    pool : GuardPool

    Attributes
    ----------
    stopped : dict of str to str
        Versions to which this host sends no new work, with the reason.
    """

    def __init__(self, pool: GuardPool) -> None:
        self.pool = pool
        self.stopped: dict[str, str] = {}
        self._observed: dict[str, _ObservedVersion] = {}

    def update_catalogue(self, catalogue: Catalogue) -> None:
        """Adopt the roll-outs of a new catalogue; drop those that ended."""
        pairs = compared_versions(catalogue)
        self.pool.set_compared(frozenset(pairs) | frozenset(pairs.values()))
        for name in [name for name in self._observed if name not in pairs]:
            del self._observed[name]
        for name in [name for name in self.stopped if name not in pairs]:
            del self.stopped[name]

    def evaluate(self, catalogue: Catalogue) -> None:
        """Test each version under roll-out on the counts since the last evaluation."""
        for name, stable_name in compared_versions(catalogue).items():
            version = catalogue.versions[name]
            canary = self.pool.arms(name)
            stable = self.pool.arms(stable_name)
            observed = self._observed.get(name)
            if observed is None:
                no_counts = {metric: Arm.empty() for metric in canary}
                observed = _ObservedVersion(Guard(), 0.0, no_counts, no_counts)
                self._observed[name] = observed
            if observed.share != version.canary_share:
                observed.share = version.canary_share
                observed.guard.start_step(_step_count(version))
            results = observed.guard.update(
                _difference(canary, observed.canary),
                _difference(stable, observed.stable),
            )
            observed.canary, observed.stable = canary, stable
            worse_metrics = [metric for metric, is_worse in results.items() if is_worse]
            if worse_metrics and name not in self.stopped:
                self.stopped[name] = (
                    f"worse than {stable_name} in {', '.join(worse_metrics)}"
                )
                logger.warning("version {} is stopped: {}", name, self.stopped[name])


def _step_count(version: ModelVersion) -> int:
    return len(version.rollout.steps) if version.rollout is not None else 1


def _difference(now: dict[str, Arm], before: dict[str, Arm]) -> dict[str, Arm]:
    return {name: arm.minus(before[name]) for name, arm in now.items()}


@dataclass(eq=False)
class _VersionEntry:
    """A version's entry as read; the model of the state machine."""

    item: StoredObject
    spec: VersionSpec
    state: VersionState

    @property
    def status(self) -> dict[str, Any]:
        return self.item.status.get("rollout", {})


class RolloutDriver:
    """Advances roll-outs, and records those that the guard stopped.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    guard : RolloutGuard
    catalogue : callable
        Returns the current catalogue of this host.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        guard: RolloutGuard,
        catalogue: Callable[[], Catalogue],
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._guard = guard
        self._catalogue = catalogue
        self._machine = Machine(
            model=None,
            states=VersionState,
            transitions=TRANSITIONS,
            initial=VersionState.PROPOSED,
            auto_transitions=False,
        )

    async def record_stops(self) -> None:
        """Set the state of versions that this host's guard stopped to `held`."""
        for name, reason in list(self._guard.stopped.items()):
            entry = await self._read_version(name)
            if entry is not None and entry.state is VersionState.CANARY:
                await self._apply(entry, "hold", {"reason": reason})

    async def advance(self, fencing_number: int) -> None:
        """Take the next step of each roll-out that is ready for it.

        The fencing token is not needed: each write is conditional on the revision
        that the decision was based on, so a write by a former duty holder fails.
        """
        for version in list(self._catalogue().versions.values()):
            if version.rollout is None or version.name in self._guard.stopped:
                continue
            try:
                await self._advance_version(version.name)
            except ConflictError as exc:
                logger.info(
                    "version {} was changed by another writer: {}",
                    version.name,
                    exc.message,
                )

    async def _advance_version(self, name: str) -> None:
        entry = await self._read_version(name)
        if entry is None or entry.spec.rollout is None:
            return
        policy = entry.spec.rollout.policy()
        if entry.state is VersionState.CANARY:
            await self._widen(entry, policy)
        elif entry.state is VersionState.SERVING and entry.status.get("complete"):
            await self._retire_stable(entry.spec.stable, policy)

    async def _widen(self, entry: _VersionEntry, policy: RolloutPolicy) -> None:
        share = entry.spec.canary_share
        if entry.status.get("share") != share:
            await self._apply(entry, "widen", self._step_status(entry.item.name, share))
            return
        if not self._is_ready(entry, policy):
            return
        wider = [item for item in policy.steps if item > share]
        if not wider or wider[0] >= 1:
            await self._apply(entry, "complete", {"complete": True}, canaryShare=1.0)
            return
        status = self._step_status(entry.item.name, wider[0])
        await self._apply(entry, "widen", status, canaryShare=wider[0])

    def _step_status(self, name: str, share: float) -> dict[str, Any]:
        return {
            "share": share,
            "since": self._clock.now(),
            "attempts": self._attempts(name),
        }

    def _attempts(self, name: str) -> float:
        return float(self._guard.pool.arms(name)["errors"].count)

    def _is_ready(self, entry: _VersionEntry, policy: RolloutPolicy) -> bool:
        since = entry.status.get("since", self._clock.now())
        attempts_before = min(
            entry.status.get("attempts", 0.0), self._attempts(entry.item.name)
        )
        new_attempts = self._attempts(entry.item.name) - attempts_before
        waited_s = self._clock.now() - since
        return waited_s >= policy.step_s and new_attempts >= policy.step_attempts

    async def _retire_stable(self, name: str, policy: RolloutPolicy) -> None:
        """Retire the old version; withdraw it `retire_s` later.

        Its sessions can end in the meantime.
        """
        entry = await self._read_version(name)
        if entry is None:
            return
        now = self._clock.now()
        if entry.state is VersionState.SERVING:
            await self._apply(entry, "retire", {"retireUntil": now + policy.retire_s})
        elif entry.state is VersionState.RETIRING:
            until = entry.status.get("retireUntil")
            if until is not None and now >= until:
                await self._apply(entry, "withdraw", {})

    async def _read_version(self, name: str) -> _VersionEntry | None:
        try:
            item = await self._platform.get(Kind.ENTRY, name)
            spec = read_entry(name, item.spec)
        except (NotFoundError, RadishshiftError) as exc:
            logger.warning(
                "catalogue entry {} could not be read: {}", name, exc.message
            )
            return None
        if not isinstance(spec, VersionSpec):
            return None
        return _VersionEntry(item, spec, spec.state)

    async def _apply(
        self, entry: _VersionEntry, trigger: str, status: dict[str, Any], **spec: Any
    ) -> None:
        """Apply a state transition in one conditional write.

        The state machine rejects a trigger that the entry's state does not allow.

        Raises
        ------
        ConflictError
            Another writer changed the entry since it was read.
        """
        self._machine.add_model(entry, initial=entry.state)
        self._machine.events[trigger].trigger(entry)
        self._machine.remove_model(entry)
        spec = entry.item.spec | spec | {"state": VersionState(entry.state).value}
        status = entry.item.status | {"rollout": status}
        await self._platform.update(replace(entry.item, spec=spec, status=status))
        logger.info(
            "roll-out of {}: {}, canary share {}",
            entry.item.name,
            trigger,
            spec.get("canaryShare"),
        )
