"""Tracking of poison requests, which crash the endpoints that run them.

When an endpoint crashes, every request that was running there becomes a suspect. A
suspect is retried only in isolation from other suspects (see `poison_retries`), so a
second crash identifies the poison request; from then on every host that knows of the
crashes refuses it. Crashes are sent to all live hosts at once, and again with the
heartbeats for hosts that missed them.
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
MAX_CRASHES_PER_HEARTBEAT = 20
SENDS_PER_PEER = 3


class Crash(msgspec.Struct, frozen=True):
    """A crash of an endpoint while it ran a request; may be received many times."""

    fingerprint: str
    endpoint: str
    at: float


@dataclass(slots=True)
class _Suspect:
    crashes: set[Crash] = field(default_factory=set)
    expires_at: float = 0.0


class PoisonTracker:
    """Counts, for each request, the endpoint crashes while it was running.

    It is a heartbeat section: peers exchange their crashes with the heartbeats.

    Parameters
    ----------
    max_suspects : int
        Maximum number of suspects; the oldest are evicted first.
    """

    name = "poison"

    def __init__(self, max_suspects: int = MAX_SUSPECTS) -> None:
        self._max_suspects = max_suspects
        self._suspects: dict[str, _Suspect] = {}
        self._send_counts: dict[tuple[str, int], dict[Crash, int]] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def record_crash(self, fingerprint: str, endpoint: str, now: float) -> None:
        """Record that an endpoint crashed while it ran a request."""
        self.merge_crash(Crash(fingerprint, endpoint, now), now)

    def merge_crash(self, crash: Crash, now: float) -> None:
        """Merge a crash; idempotent, and a no-op for one that has expired."""
        if crash.at + POISON_TTL_S <= now:
            return
        suspect = self._suspects.pop(crash.fingerprint, None) or _Suspect()
        if len(suspect.crashes) < MAX_CRASHES:
            suspect.crashes.add(crash)
        ttl_s = POISON_TTL_S if len(suspect.crashes) >= MAX_CRASHES else SUSPECT_TTL_S
        suspect.expires_at = max(known.at for known in suspect.crashes) + ttl_s
        self._suspects[crash.fingerprint] = suspect
        self._evict(now)

    def is_known(self, crash: Crash) -> bool:
        """Return whether merging a crash would change nothing."""
        suspect = self._suspects.get(crash.fingerprint)
        if suspect is None:
            return False
        return crash in suspect.crashes or len(suspect.crashes) >= MAX_CRASHES

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return how many endpoint crashes a request is suspected of."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_at <= now:
            return 0
        return len(suspect.crashes)

    def check(self, fingerprint: str, now: float) -> None:
        """Refuse a request that has reached `MAX_CRASHES` endpoint crashes.

        Raises
        ------
        PoisonError
        """
        if self.crash_count(fingerprint, now) >= MAX_CRASHES:
            raise PoisonError(
                "the request is refused: endpoints crashed while running it"
            )

    def outgoing(self, peer: Host, now: float) -> Any | None:
        """Return crashes that were sent to a peer fewer than `SENDS_PER_PEER` times."""
        self._evict(now)
        counts = self._send_counts.setdefault((peer.name, peer.incarnation), {})
        crashes = []
        for suspect in reversed(self._suspects.values()):
            for crash in suspect.crashes:
                if counts.get(crash, 0) < SENDS_PER_PEER:
                    counts[crash] = counts.get(crash, 0) + 1
                    crashes.append([crash.fingerprint, crash.endpoint, crash.at])
            if len(crashes) >= MAX_CRASHES_PER_HEARTBEAT:
                break
        return crashes or None

    def incoming(self, peer: Host, value: Any, now: float) -> None:
        """Merge the crashes that a peer has sent."""
        for fingerprint, endpoint, at in value:
            self.merge_crash(Crash(fingerprint, endpoint, at), now)

    def _evict(self, now: float) -> None:
        evicted = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires_at <= now
        ]
        excess = len(self._suspects) - len(evicted) - self._max_suspects
        if excess > 0:
            evicted += [name for name in self._suspects if name not in evicted][:excess]
        for fingerprint in evicted:
            del self._suspects[fingerprint]
        for counts in self._send_counts.values():
            stale = [
                crash for crash in counts if crash.fingerprint not in self._suspects
            ]
            for crash in stale:
                del counts[crash]
