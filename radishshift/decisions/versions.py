"""Which version of a service a request runs on while a roll-out is under way.

Load pattern: a new version beside the old one that may fail, turn slow, or turn bad
late, under load or on one route, while sessions are to stay with the version they
began on. Hosts pool what they see of both versions; each reaches the same verdict
from the same counts and stops the new version for itself at once.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from radishshift.decisions.routes import uniform
from radishshift.gateway.deployment import Rollout, RolloutState
from radishshift.gateway.host_settings import Bounds

__all__ = ["Canary", "Counts", "VersionGuard"]

CANARY_SHARE = 2 / 3  # of the part of all requests that a bad version may get
WIDER_SHARE = 0.3
WIDER_AT = 0.55  # of the roll-out's time; before half of it sessions stay
WHOLE_AT = 0.72
WHOLE_ANYWAY_AT = 0.8
COMPLETE_AT = 0.84  # the old endpoints stop at once, so their work ends before
COMPLETE_ANYWAY_AT = 0.95
TRIES_LEAST = 6  # answers of a version before it is judged
TRUSTED_LEAST = 8  # answers before all sessions go to it
TRUSTED_BAD = 1.0  # bad answers, beyond what the old version's rate explains, till then
EXCESS_BAD = 3.0  # bad answers beyond what the old version's rate explains
SPARED_RATE = 0.06  # difference between two rates that says nothing
# Times are compared as doublings of the old version's usual time. Good versions, on
# endpoints with less to do, are at -0.7 to 0.1 on average, slow ones at 0.5 to 1.3.
SPARED_DOUBLINGS = 0.4
DOUBLINGS_LEAST, DOUBLINGS_MOST = -1.5, 2.0  # of one time: one stall proves nothing
SLOW_LEAST = -1.5  # of one host and route, so that one that turns slow late is found
EXCESS_SLOW = 8.0  # doublings beyond what is spared, over all times
TRUSTED_SLOW = 2.5  # the same, till more sessions go to a version
KEPT_SESSIONS = 20_000
JUDGED_ROUTES = 64


@dataclass(slots=True)
class Counts:
    """Answers of one version on one route.

    Attributes
    ----------
    answers, bad : int
    slow : float
        Doublings of the usual time beyond what is spared, summed over all times.
    """

    answers: int = 0
    bad: int = 0
    slow: float = 0.0

    def add(self, other: "Counts") -> None:
        """Add the counts of another host or route."""
        self.answers += other.answers
        self.bad += other.bad
        self.slow += other.slow


@dataclass(slots=True)
class Canary:
    """A roll-out as one host sees it.

    Attributes
    ----------
    rollout : Rollout
    began : float
        Instant of the order, as the first host saw it.
    counts : dict
        By host, then by whether the version is the new one and the route.
    stopped : bool
        Whether the new version was found bad.
    """

    rollout: Rollout
    began: float
    counts: dict[str, dict[tuple[bool, str], Counts]] = field(default_factory=dict)
    stopped: bool = False

    def elapsed(self, now: float) -> float:
        """Return the part of the roll-out's time that has passed."""
        return (now - self.began) / max(0.001, self.rollout.duration_s)

    def totals(self) -> dict[tuple[bool, str], Counts]:
        """Return the counts of all hosts."""
        totals: dict[tuple[bool, str], Counts] = {}
        for counts in self.counts.values():
            for key, held in counts.items():
                totals.setdefault(key, Counts()).add(held)
        return totals

    def bad(self) -> bool:
        """Tell whether the counts speak against the new version."""
        return any(
            new.slow > EXCESS_SLOW
            or (new.answers >= TRIES_LEAST and _excess(new, old) > EXCESS_BAD)
            for new, old in self._pairs()
        )

    def judge(self) -> bool:
        """Stop the new version if the counts speak against it; tell if just now."""
        if self.stopped or not self.bad():
            return False
        self.stopped = True
        return True

    def looks_suspect(self) -> bool:
        """Tell whether the counts are not yet clean enough for more sessions."""
        return any(
            new.slow > TRUSTED_SLOW or _excess(new, old) > TRUSTED_BAD
            for new, old in self._pairs()
        )

    def answers(self) -> int:
        """Return the answers of the new version that all hosts have seen."""
        return sum(held.answers for (new, _), held in self.totals().items() if new)

    def _pairs(self) -> list[tuple[Counts, Counts]]:
        """Return the counts of the new and the old version by route, and in all."""
        totals = self.totals()
        routes = {route for _, route in totals}
        pairs = [
            (totals.get((True, route), Counts()), totals.get((False, route), Counts()))
            for route in routes
        ]
        pairs.append((_sum(new for new, _ in pairs), _sum(old for _, old in pairs)))
        return pairs


def _sum(counts: Iterable[Counts]) -> Counts:
    total = Counts()
    for held in counts:
        total.add(held)
    return total


def _excess(new: Counts, old: Counts) -> float:
    """Return the bad answers beyond what the old version's rate explains."""
    usual = (old.bad + 0.5) / (old.answers + 5.0) if old.answers else 0.1
    return new.bad - new.answers * (usual + SPARED_RATE)


class VersionGuard:
    """Chooses versions and judges them.

    Parameters
    ----------
    host : str
    bounds : Bounds
    """

    def __init__(self, host: str, bounds: Bounds) -> None:
        self._host = host
        self.bounds = bounds
        self.canaries: dict[str, Canary] = {}
        self._sessions: OrderedDict[str, tuple[str, float]] = OrderedDict()

    def update_rollouts(self, rollouts: Iterable[Rollout], now: float) -> None:
        """Take the roll-outs that are known now."""
        seen = set()
        for rollout in rollouts:
            seen.add(rollout.service)
            canary = self.canaries.get(rollout.service)
            if (
                canary is None
                or canary.rollout.target != rollout.target
                or (canary.rollout.state.ended and not rollout.state.ended)
            ):
                canary = Canary(rollout, now)
                self.canaries[rollout.service] = canary
            canary.rollout = rollout
            if rollout.state is RolloutState.ROLLED_BACK:
                canary.stopped = True
        for service in [service for service in self.canaries if service not in seen]:
            del self.canaries[service]

    def share(self, service: str, now: float) -> float:
        """Return the part of a service's sessions that the new version gets."""
        canary = self.canaries.get(service)
        if canary is None or canary.stopped:
            return 0.0
        if canary.rollout.state is RolloutState.COMPLETED:
            return 1.0
        elapsed = canary.elapsed(now)
        if elapsed < WIDER_AT or canary.looks_suspect():
            return CANARY_SHARE * self.bounds.exposure_share
        hardly_seen = canary.answers() < TRUSTED_LEAST and elapsed < WHOLE_ANYWAY_AT
        if elapsed < WHOLE_AT or hardly_seen:
            return WIDER_SHARE
        return 1.0

    def uses_new_version(self, service: str, key: str, now: float) -> bool | None:
        """Tell whether a request goes to the new version; None without a roll-out.

        Parameters
        ----------
        service : str
        key : str
            Session, or the request's id if it has none.
        """
        canary = self.canaries.get(service)
        if canary is None:
            return None
        if canary.stopped:
            return False
        chosen = uniform("version" + key) < self.share(service, now)
        if canary.rollout.state is RolloutState.COMPLETED:
            return True
        held = self._sessions.get(service + key)
        if held is not None and now - held[1] <= self.bounds.session_s:
            was_new = held[0] == canary.rollout.target
            if was_new or canary.elapsed(now) < 0.5:
                return was_new
        return chosen

    def record_session_version(
        self, service: str, key: str, version: str, now: float
    ) -> None:
        """Note the version that a session's request runs on."""
        self._sessions[service + key] = (version, now)
        self._sessions.move_to_end(service + key)
        while len(self._sessions) > KEPT_SESSIONS:
            self._sessions.popitem(last=False)

    def record_answer(self, service: str, version: str, route: str, ok: bool) -> None:
        """Take in how an answer of a version went."""
        counts = self._counts(service, version, route)
        if counts is not None:
            counts.answers += 1
            counts.bad += not ok
            self.canaries[service].judge()

    def record_time(self, service: str, version: str, route: str, ratio: float) -> None:
        """Take in a time of a version, against the old version's usual one."""
        counts = self._counts(service, version, route)
        if counts is not None and self.is_new(service, version):
            doublings = math.log2(max(ratio, 0.01))
            doublings = min(max(doublings, DOUBLINGS_LEAST), DOUBLINGS_MOST)
            slow = counts.slow + doublings - SPARED_DOUBLINGS
            counts.slow = max(slow, SLOW_LEAST)
            self.canaries[service].judge()

    def is_new(self, service: str, version: str) -> bool:
        """Tell whether a version is one that a roll-out brings in."""
        canary = self.canaries.get(service)
        return canary is not None and version == canary.rollout.target

    def _counts(self, service: str, version: str, route: str) -> Counts | None:
        """Return the counts to add to, or None where nothing is judged."""
        canary = self.canaries.get(service)
        if canary is None or canary.rollout.state.ended:
            return None
        own = canary.counts.setdefault(self._host, {})
        key = (version == canary.rollout.target, route)
        if key not in own and len(own) >= JUDGED_ROUTES:
            return None
        return own.setdefault(key, Counts())

    def due_state(self, service: str, now: float, moved: bool) -> RolloutState | None:
        """Return the state that a roll-out should have by now, if another.

        Parameters
        ----------
        moved : bool
            Whether no host is known to have work at the old version.
        """
        canary = self.canaries.get(service)
        if canary is None or canary.rollout.state.ended:
            return None
        if canary.stopped:
            return RolloutState.ROLLED_BACK
        elapsed = canary.elapsed(now)
        if elapsed >= COMPLETE_ANYWAY_AT and canary.looks_suspect():
            return RolloutState.ROLLED_BACK
        if elapsed >= COMPLETE_ANYWAY_AT or (elapsed >= COMPLETE_AT and moved):
            return RolloutState.COMPLETED
        if canary.rollout.state is RolloutState.ORDERED:
            return RolloutState.RUNNING
        return None
