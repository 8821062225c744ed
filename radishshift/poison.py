"""Requests that crash the endpoints which run them.

When an endpoint crashes, every request that ran there is a suspect. A suspect is
run again only apart from other suspects, see `poison_retries`, so a second crash
tells which one it was; after that the request is refused by every host that has
heard of it. Crashes are told to all live hosts at once, and ride on the heartbeats
for those that missed it.
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from radishshift.errors import PoisonError
from radishshift.hosts import Host

__all__ = ["Crash", "PoisonTracker"]

MAX_CRASHES = 2
SUSPECT_TTL_S = 600.0
POISON_TTL_S = 3600.0
MAX_SUSPECTS = 10_000
SENT_AT_ONCE_MAX = 20
TIMES_SENT = 3


class Crash(msgspec.Struct, frozen=True):
    """An endpoint crashed while it ran a request; one event, told many times."""

    fingerprint: str
    endpoint: str
    at: float


@dataclass(slots=True)
class _Suspect:
    crashes: set[Crash] = field(default_factory=set)
    forget_at: float = 0.0


class PoisonTracker:
    """Counts the crashes of endpoints while they ran a request.

    It is a section that rides on the heartbeats.

    Parameters
    ----------
    bound : int
        Number of suspects held; the oldest go first.
    """

    name = "poison"

    def __init__(self, bound: int = MAX_SUSPECTS) -> None:
        self._bound = bound
        self._suspects: dict[str, _Suspect] = {}
        self._sent: dict[tuple[str, int], dict[Crash, int]] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def record_crash(self, fingerprint: str, endpoint: str, now: float) -> None:
        """Note that an endpoint crashed while it ran a request."""
        self.merge_crash(Crash(fingerprint, endpoint, now), now)

    def merge_crash(self, crash: Crash, now: float) -> None:
        """Take in a crash; one that is known already changes nothing."""
        if crash.at + POISON_TTL_S <= now:
            return
        suspect = self._suspects.pop(crash.fingerprint, None) or _Suspect()
        if len(suspect.crashes) < MAX_CRASHES:
            suspect.crashes.add(crash)
        kept_s = POISON_TTL_S if len(suspect.crashes) >= MAX_CRASHES else SUSPECT_TTL_S
        suspect.forget_at = max(known.at for known in suspect.crashes) + kept_s
        self._suspects[crash.fingerprint] = suspect
        self._trim(now)

    def is_known(self, crash: Crash) -> bool:
        """Tell whether a crash changes nothing any more."""
        suspect = self._suspects.get(crash.fingerprint)
        if suspect is None:
            return False
        return crash in suspect.crashes or len(suspect.crashes) >= MAX_CRASHES

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return how often an endpoint crashed on a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.forget_at <= now:
            return 0
        return len(suspect.crashes)

    def check(self, fingerprint: str, now: float) -> None:
        """Refuse a request that has crashed enough endpoints.

        Raises
        ------
        PoisonError
        """
        if self.crash_count(fingerprint, now) >= MAX_CRASHES:
            raise PoisonError("the request has crashed the endpoints that ran it")

    def outgoing(self, peer: Host, now: float) -> Any | None:
        """Return crashes that a peer has not been sent often enough."""
        self._trim(now)
        counts = self._sent.setdefault((peer.name, peer.incarnation), {})
        crashes = []
        for suspect in reversed(self._suspects.values()):
            for crash in suspect.crashes:
                if counts.get(crash, 0) < TIMES_SENT:
                    counts[crash] = counts.get(crash, 0) + 1
                    crashes.append([crash.fingerprint, crash.endpoint, crash.at])
            if len(crashes) >= SENT_AT_ONCE_MAX:
                break
        return crashes or None

    def incoming(self, peer: Host, value: Any, now: float) -> None:
        """Take the crashes that a peer has sent."""
        for fingerprint, endpoint, at in value:
            self.merge_crash(Crash(fingerprint, endpoint, at), now)

    def _trim(self, now: float) -> None:
        over = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.forget_at <= now
        ]
        excess = len(self._suspects) - len(over) - self._bound
        if excess > 0:
            over += [name for name in self._suspects if name not in over][:excess]
        for fingerprint in over:
            del self._suspects[fingerprint]
        for counts in self._sent.values():
            forgotten = [
                crash for crash in counts if crash.fingerprint not in self._suspects
            ]
            for crash in forgotten:
                del counts[crash]
