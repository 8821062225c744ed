"""Canary analysis: which version of a service serves a request during a roll-out.

Load pattern: a new version runs beside the old one and may fail or be slow, at once
or later, under load or on one route only, while sessions should stay on the version
they began on. Hosts share their counts of both versions by gossip; each host reaches
the same verdict from the same counts and stops using a bad version at once.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from radishshift.decisions.routes import uniform
from radishshift.gateway.deployment import Rollout, RolloutState
from radishshift.gateway.host_settings import Bounds
from radishshift.recent import put_newest

__all__ = ["Canary", "Counts", "VersionGuard"]

# Shares of sessions that the new version gets, and the fraction of the roll-out's
# duration at which each step begins.
CANARY_SHARE = 2 / 3  # initial share of sessions, as a fraction of `exposure_share`
EXPANDED_SHARE = 0.3
EXPAND_AT = 0.55  # after 0.5, from which on sessions may leave the old version
FULL_AT = 0.72
FORCE_FULL_AT = 0.8  # the version gets all sessions even after few answers
COMPLETE_AT = 0.84  # old endpoints stop at once, so they must be idle by then
FORCE_DECISION_AT = 0.95  # the version is completed, or rolled back if suspect
MIN_ANSWERS_TO_STOP = 6  # answers before the bad answers of a version can stop it
MIN_ANSWERS_FOR_FULL = 8  # answers before the version gets all sessions
# Bad answers beyond the number expected from the old version's rate.
MAX_EXCESS_BAD_TO_EXPAND = 1.0  # above this the version gets no more sessions
MAX_EXCESS_BAD = 3.0  # above this the version is stopped
BAD_RATE_TOLERANCE = 0.06  # a smaller difference between the two rates is ignored
# Times are compared as log2 of their ratio to the old version's mean. Until a version
# gets all sessions, its endpoints are less loaded than the old ones, so that a good
# version is faster than the mean (-0.7 to 0) and a slow one is not (0.2 to 1.3).
CANARY_LOG2_RATIO_TOLERANCE = 0.1
LOG2_RATIO_TOLERANCE = 0.4  # once the version gets all sessions
# Limits for the time of a single answer, so that one stall cannot stop a version.
MIN_LOG2_RATIO, MAX_LOG2_RATIO = -1.5, 2.0
# Slowness is the sum of the log2 ratios, each less the tolerance. The lower limit, for
# each host and route, lets a version that becomes slow late be detected soon.
MIN_SLOWNESS = -1.5
MAX_SLOWNESS = 8.0  # above this the version is stopped
MAX_SLOWNESS_TO_EXPAND = 2.5  # above this the version gets no more sessions
MAX_SESSIONS = 20_000
MAX_KEPT = 200  # sessions told to peers, and remembered of what they tell
KEPT_TOLERANCE_S = 0.5  # ages shrink on their way from host to host
MAX_ROUTES = 64

_Session = tuple[str, str]  # service, and what its requests have in common


@dataclass(slots=True)
class Counts:
    """Outcome counts of one version on one route.

    Attributes
    ----------
    answers, bad : int
        Number of answers, and how many of them were bad.
    slowness : float
        Sum over all times of the log2 of the ratio to the mean, less the tolerance.
    """

    answers: int = 0
    bad: int = 0
    slowness: float = 0.0

    def add(self, other: "Counts") -> None:
        """Add the counts of another host or route."""
        self.answers += other.answers
        self.bad += other.bad
        self.slowness += other.slowness


@dataclass(slots=True)
class Canary:
    """State of a roll-out as one host sees it.

    Attributes
    ----------
    rollout : Rollout
    began_at : float
        Earliest time at which any host saw the roll-out ordered.
    counts : dict
        Counts by host, then by (whether the version is the new one, route).
    stopped : bool
        Whether the new version was found bad.
    """

    rollout: Rollout
    began_at: float
    counts: dict[str, dict[tuple[bool, str], Counts]] = field(default_factory=dict)
    stopped: bool = False

    def elapsed_share(self, now: float) -> float:
        """Return the elapsed fraction of the roll-out's duration."""
        return (now - self.began_at) / max(0.001, self.rollout.duration_s)

    def keeps_sessions(self, now: float) -> bool:
        """Return whether sessions stay on the old version, as in the first half."""
        return not self.rollout.state.ended and self.elapsed_share(now) < 0.5

    def totals(self) -> dict[tuple[bool, str], Counts]:
        """Return the counts summed over all hosts."""
        totals: dict[tuple[bool, str], Counts] = {}
        for counts in self.counts.values():
            for key, host_counts in counts.items():
                totals.setdefault(key, Counts()).add(host_counts)
        return totals

    def is_bad(self) -> bool:
        """Return whether the counts show that the new version is bad."""
        return any(
            new.slowness > MAX_SLOWNESS
            or (
                new.answers >= MIN_ANSWERS_TO_STOP
                and _excess(new, old) > MAX_EXCESS_BAD
            )
            for new, old in self._pairs()
        )

    def stop_if_bad(self) -> bool:
        """Stop the new version if it is bad; return whether this call stopped it."""
        if self.stopped or not self.is_bad():
            return False
        self.stopped = True
        return True

    def looks_suspect(self) -> bool:
        """Return whether the counts are too poor to give the version more sessions."""
        return any(
            new.slowness > MAX_SLOWNESS_TO_EXPAND
            or _excess(new, old) > MAX_EXCESS_BAD_TO_EXPAND
            for new, old in self._pairs()
        )

    def answer_count(self) -> int:
        """Return the number of answers of the new version, over all hosts."""
        return sum(item.answers for (new, _), item in self.totals().items() if new)

    def _pairs(self) -> list[tuple[Counts, Counts]]:
        """Return (new, old) counts for each route, and for all routes together."""
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
    for item in counts:
        total.add(item)
    return total


def _excess(new: Counts, old: Counts) -> float:
    """Return the bad answers beyond the number expected from the old version."""
    expected_rate = (old.bad + 0.5) / (old.answers + 5.0) if old.answers else 0.1
    return new.bad - new.answers * (expected_rate + BAD_RATE_TOLERANCE)


def _digest(session: _Session) -> str:
    return xxhash.xxh32_hexdigest("".join(session).encode())


class VersionGuard:
    """Routes sessions between two versions and stops a new version that is bad.

    Parameters
    ----------
    host : str
    bounds : Bounds
    """

    def __init__(self, host: str, bounds: Bounds) -> None:
        self._host = host
        self.bounds = bounds
        self.canaries: dict[str, Canary] = {}
        # Version and instant of the last request, by service and session.
        self._sessions: OrderedDict[_Session, tuple[str, float]] = OrderedDict()
        # Digests of sessions that stay on the old version against their hash, on any
        # host, with the instant of their last request.
        self._kept: OrderedDict[str, float] = OrderedDict()

    def update_rollouts(self, rollouts: Iterable[Rollout], now: float) -> None:
        """Update the tracked roll-outs to those that are known now."""
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
                self._keep_sessions_under_way(rollout.service, now)
            canary.rollout = rollout
            if rollout.state is RolloutState.ROLLED_BACK:
                canary.stopped = True
        for service in [service for service in self.canaries if service not in seen]:
            del self.canaries[service]

    def new_version_share(self, service: str, now: float) -> float:
        """Return the share of a service's sessions that the new version gets."""
        canary = self.canaries.get(service)
        if canary is None or canary.stopped:
            return 0.0
        if canary.rollout.state is RolloutState.COMPLETED:
            return 1.0
        elapsed_share = canary.elapsed_share(now)
        if elapsed_share < EXPAND_AT or canary.looks_suspect():
            return CANARY_SHARE * self.bounds.exposure_share
        too_few_answers = (
            canary.answer_count() < MIN_ANSWERS_FOR_FULL
            and elapsed_share < FORCE_FULL_AT
        )
        if elapsed_share < FULL_AT or too_few_answers:
            return EXPANDED_SHARE
        return 1.0

    def uses_new_version(self, service: str, key: str, now: float) -> bool | None:
        """Return whether a request goes to the new version; None without a roll-out.

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
        chosen = uniform("version" + key) < self.new_version_share(service, now)
        if canary.rollout.state is RolloutState.COMPLETED:
            return True
        session = self._sessions.get((service, key))
        if session is not None and now - session[1] <= self.bounds.session_gap_s:
            was_new = session[0] == canary.rollout.target
            if was_new or canary.keeps_sessions(now):
                return was_new
        elif chosen and canary.keeps_sessions(now):
            kept_at = self._kept.get(_digest((service, key)), -math.inf)
            return now - kept_at > self.bounds.session_gap_s
        return chosen

    def record_session_version(
        self, service: str, key: str, version: str, now: float
    ) -> None:
        """Record the version that a request of a session runs on, or ran on.

        It is empty while no roll-out is known: a session that is under way as one is
        ordered stays on the old version, like those that began on it since.
        """
        session = (service, key)
        put_newest(self._sessions, session, (version, now), MAX_SESSIONS)
        while self._oldest_has_ended(now):
            self._sessions.popitem(last=False)
        canary = self.canaries.get(service)
        if canary is not None and version != canary.rollout.target:
            self._keep_if_chosen(session, now, now)

    def kept_ages_s(self, now: float) -> dict[str, float]:
        """Return the sessions that stay on an old version against their hash.

        A host that gets the next request of such a session, and hasn't seen it, would
        run it on the new version.

        Returns
        -------
        dict of str to float
            Time since the last request by digest of the session, in seconds; empty
            unless a roll-out is in its first half.
        """
        if not any(canary.keeps_sessions(now) for canary in self.canaries.values()):
            return {}
        earliest = now - self.bounds.session_gap_s
        return {
            digest: round(now - at, 1)
            for digest, at in self._kept.items()
            if at >= earliest
        }

    def merge_kept(self, ages_s: dict[str, float], now: float) -> None:
        """Keep the sessions that a peer, or one that it heard from, keeps."""
        for digest, age_s in ages_s.items():
            at = now - max(0.0, age_s)
            if at > self._kept.get(digest, -math.inf) + KEPT_TOLERANCE_S:
                put_newest(self._kept, digest, at, MAX_KEPT)

    def _keep_sessions_under_way(self, service: str, now: float) -> None:
        target = self.canaries[service].rollout.target
        earliest = now - self.bounds.session_gap_s
        for session, (version, at) in self._sessions.items():
            if session[0] == service and version != target and at >= earliest:
                self._keep_if_chosen(session, at, now)

    def _keep_if_chosen(self, session: _Session, at: float, now: float) -> None:
        """Keep a session of the old version that by its hash would go to the new."""
        service, key = session
        if not self.canaries[service].keeps_sessions(now):
            return
        if uniform("version" + key) < self.new_version_share(service, now):
            put_newest(self._kept, _digest(session), at, MAX_KEPT)

    def _oldest_has_ended(self, now: float) -> bool:
        """Return whether the session with the earliest last request has ended."""
        _, at = next(iter(self._sessions.values()))
        return now - at > self.bounds.session_gap_s

    def record_answer(self, service: str, version: str, route: str, ok: bool) -> None:
        """Count an answer of a version."""
        counts = self._counts(service, version, route)
        if counts is not None:
            counts.answers += 1
            counts.bad += not ok
            self.canaries[service].stop_if_bad()

    def record_time(
        self, service: str, version: str, route: str, ratio: float, now: float
    ) -> None:
        """Add the ratio of a new version's time to the old version's mean."""
        counts = self._counts(service, version, route)
        if counts is None or not self.is_new(service, version):
            return
        canary = self.canaries[service]
        gets_all = canary.elapsed_share(now) >= FULL_AT
        tolerance = LOG2_RATIO_TOLERANCE if gets_all else CANARY_LOG2_RATIO_TOLERANCE
        log2_ratio = math.log2(max(ratio, 0.01))
        log2_ratio = min(max(log2_ratio, MIN_LOG2_RATIO), MAX_LOG2_RATIO)
        counts.slowness = max(counts.slowness + log2_ratio - tolerance, MIN_SLOWNESS)
        canary.stop_if_bad()

    def is_new(self, service: str, version: str) -> bool:
        """Return whether a version is the target of a roll-out."""
        canary = self.canaries.get(service)
        return canary is not None and version == canary.rollout.target

    def _counts(self, service: str, version: str, route: str) -> Counts | None:
        """Return the counts to add to, or None if the answer is not counted."""
        canary = self.canaries.get(service)
        if canary is None or canary.rollout.state.ended:
            return None
        own = canary.counts.setdefault(self._host, {})
        key = (version == canary.rollout.target, route)
        if key not in own and len(own) >= MAX_ROUTES:
            return None
        return own.setdefault(key, Counts())

    def due_state(
        self, service: str, now: float, old_is_idle: bool
    ) -> RolloutState | None:
        """Return the state that a roll-out should move to now, or None.

        Parameters
        ----------
        old_is_idle : bool
            Whether no recent report shows attempts in flight at the old version, whose
            endpoints stop as soon as the roll-out is completed.
        """
        canary = self.canaries.get(service)
        if canary is None or canary.rollout.state.ended:
            return None
        if canary.stopped:
            return RolloutState.ROLLED_BACK
        elapsed_share = canary.elapsed_share(now)
        if elapsed_share >= FORCE_DECISION_AT and canary.looks_suspect():
            return RolloutState.ROLLED_BACK
        if elapsed_share >= FORCE_DECISION_AT or (
            elapsed_share >= COMPLETE_AT and old_is_idle
        ):
            return RolloutState.COMPLETED
        if canary.rollout.state is RolloutState.ORDERED:
            return RolloutState.RUNNING
        return None
