"""Roll-out of a new version in place of a stable one.

All state of a roll-out is in the catalogue's entries, so that any host goes on after
an interruption: the new version's `state` and `canaryShare`, and beside them a status
`{"rollout": {"share": S, "since": T, "reason": ...}}` that tells since when a step
has been watched. Each write is conditional on the revision that it was decided by;
who loses a race decides anew. Steps are:

    proposed -> canary (each share in turn) -> serving, the old one retiring
                                            -> the old one withdrawn
    canary -> held, when the guard finds the new version worse
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

TRANSITIONS = [
    ["widen", VersionState.CANARY, None],
    ["complete", VersionState.CANARY, VersionState.SERVING],
    ["hold", VersionState.CANARY, VersionState.HELD],
    ["retire", VersionState.SERVING, VersionState.RETIRING],
    ["withdraw", VersionState.RETIRING, VersionState.WITHDRAWN],
]

logger = logbook.Logger("rollout")


def is_canary_request(request_id: str, canary: ModelVersion) -> bool:
    """Tell whether a request is one of the canary's share, the same on any host."""
    name = f"{canary.name}/{request_id}".encode()
    drawn = xxhash.xxh64_intdigest(name) / 2**64
    return drawn < canary.canary_share


def compared_versions(catalogue: Catalogue) -> dict[str, str]:
    """Return the versions under roll-out and the stable one of each."""
    return {
        version.name: version.stable
        for version in catalogue.versions.values()
        if version.state is VersionState.CANARY and version.stable in catalogue.versions
    }


@dataclass(slots=True)
class _Watched:
    guard: Guard
    share: float
    canary: dict[str, Arm]
    stable: dict[str, Arm]


class RolloutGuard:
    """Watches the versions under roll-out by what all hosts have seen.

    Parameters
    ----------
    pool : GuardPool

    Attributes
    ----------
    stopped : dict of str to str
        Why this host gives a version no new work, by version.
    """

    def __init__(self, pool: GuardPool) -> None:
        self.pool = pool
        self.stopped: dict[str, str] = {}
        self._watched: dict[str, _Watched] = {}

    def update_catalogue(self, catalogue: Catalogue) -> None:
        """Take the roll-outs of a catalogue; those that ended are forgotten."""
        pairs = compared_versions(catalogue)
        self.pool.set_compared(frozenset(pairs) | frozenset(pairs.values()))
        for name in [name for name in self._watched if name not in pairs]:
            del self._watched[name]
        for name in [name for name in self.stopped if name not in pairs]:
            del self.stopped[name]

    def evaluate(self, catalogue: Catalogue) -> None:
        """Test each version under roll-out with what has come since the last look."""
        for name, stable_name in compared_versions(catalogue).items():
            version = catalogue.versions[name]
            canary = self.pool.arms(name)
            stable = self.pool.arms(stable_name)
            watched = self._watched.get(name)
            if watched is None:
                nothing = {metric: Arm.empty() for metric in canary}
                watched = _Watched(Guard(), 0.0, nothing, nothing)
                self._watched[name] = watched
            if watched.share != version.canary_share:
                watched.share = version.canary_share
                watched.guard.start_step(_steps_of(version))
            worse = watched.guard.update(
                _since(canary, watched.canary), _since(stable, watched.stable)
            )
            watched.canary, watched.stable = canary, stable
            found = [metric for metric, bad in worse.items() if bad]
            if found and name not in self.stopped:
                self.stopped[name] = f"worse than {stable_name} in {', '.join(found)}"
                logger.warning("{} is stopped: {}", name, self.stopped[name])


def _steps_of(version: ModelVersion) -> int:
    return len(version.rollout.steps) if version.rollout is not None else 1


def _since(now: dict[str, Arm], before: dict[str, Arm]) -> dict[str, Arm]:
    return {name: arm.minus(before[name]) for name, arm in now.items()}


@dataclass(eq=False)
class _Step:
    """An entry that is to take a step; the model of the machine of states."""

    item: StoredObject
    spec: VersionSpec
    state: VersionState

    @property
    def status(self) -> dict[str, Any]:
        return self.item.status.get("rollout", {})


class RolloutDriver:
    """Takes the steps of roll-outs, and records those that the guard stopped.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    guard : RolloutGuard
    catalogue : callable
        Returns the catalogue in force at this host.
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
        """Record as held what this host has stopped; any host may do so."""
        for name, reason in list(self._guard.stopped.items()):
            step = await self._read(name)
            if step is not None and step.state is VersionState.CANARY:
                await self._move(step, "hold", {"reason": reason})

    async def advance(self, fencing_number: int) -> None:
        """Take the next step of each roll-out that is ready for it.

        The fencing number is not needed: each write names the revision that it was
        decided by, so one of an old holder of the duty fails.
        """
        for version in list(self._catalogue().versions.values()):
            if version.rollout is None or version.name in self._guard.stopped:
                continue
            try:
                await self._advance_one(version.name)
            except ConflictError as exc:
                logger.info("{} was moved by another: {}", version.name, exc.message)

    async def _advance_one(self, name: str) -> None:
        step = await self._read(name)
        if step is None or step.spec.rollout is None:
            return
        policy = step.spec.rollout.policy()
        if step.state is VersionState.CANARY:
            await self._widen(step, policy)
        elif step.state is VersionState.SERVING and step.status.get("complete"):
            await self._end_stable(step.spec.stable, policy)

    async def _widen(self, step: _Step, policy: RolloutPolicy) -> None:
        share = step.spec.canary_share
        if step.status.get("share") != share:
            await self._move(step, "widen", self._watching(step.item.name, share))
            return
        if not self._is_ready(step, policy):
            return
        wider = [item for item in policy.steps if item > share]
        if not wider or wider[0] >= 1:
            await self._move(step, "complete", {"complete": True}, canaryShare=1.0)
            return
        status = self._watching(step.item.name, wider[0])
        await self._move(step, "widen", status, canaryShare=wider[0])

    def _watching(self, name: str, share: float) -> dict[str, Any]:
        return {
            "share": share,
            "since": self._clock.now(),
            "attempts": self._attempts(name),
        }

    def _attempts(self, name: str) -> float:
        return float(self._guard.pool.arms(name)["errors"].count)

    def _is_ready(self, step: _Step, policy: RolloutPolicy) -> bool:
        since = step.status.get("since", self._clock.now())
        before = min(step.status.get("attempts", 0.0), self._attempts(step.item.name))
        seen = self._attempts(step.item.name) - before
        waited_s = self._clock.now() - since
        return waited_s >= policy.step_s and seen >= policy.step_attempts

    async def _end_stable(self, name: str, policy: RolloutPolicy) -> None:
        """Let the old version retire, and withdraw it once its sessions had time."""
        step = await self._read(name)
        if step is None:
            return
        now = self._clock.now()
        if step.state is VersionState.SERVING:
            await self._move(step, "retire", {"retireUntil": now + policy.retire_s})
        elif step.state is VersionState.RETIRING:
            until = step.status.get("retireUntil")
            if until is not None and now >= until:
                await self._move(step, "withdraw", {})

    async def _read(self, name: str) -> _Step | None:
        try:
            item = await self._platform.get(Kind.ENTRY, name)
            spec = read_entry(name, item.spec)
        except (NotFoundError, RadishshiftError) as exc:
            logger.warning("{} could not be read: {}", name, exc.message)
            return None
        if not isinstance(spec, VersionSpec):
            return None
        return _Step(item, spec, spec.state)

    async def _move(
        self, step: _Step, trigger: str, status: dict[str, Any], **spec: Any
    ) -> None:
        """Take a step by one conditional write; a lost race raises."""
        self._machine.add_model(step, initial=step.state)
        self._machine.events[trigger].trigger(step)
        self._machine.remove_model(step)
        spec = step.item.spec | spec | {"state": VersionState(step.state).value}
        status = step.item.status | {"rollout": status}
        await self._platform.update(replace(step.item, spec=spec, status=status))
        logger.info("{}: {} at {}", step.item.name, trigger, spec.get("canaryShare"))
