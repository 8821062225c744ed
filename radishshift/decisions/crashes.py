"""Detection of requests that crash the endpoints which run them.

Load pattern: one poison request that its caller sends repeatedly, to any host, among
innocent requests that happened to be running where an endpoint crashed.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["CrashSuspects"]

# Crashes before the first event at which a request is blocked.
CRASHES_TO_BLOCK = 2
SUSPECT_RETENTION_S = 60.0  # since the suspect's last crash
MAX_SUSPECTS = 2000


@dataclass(slots=True)
class _Suspect:
    last_crash_at: float
    crashes: dict[str, int] = field(default_factory=dict)


class CrashSuspects:
    """Crash counts by request fingerprint, summed over all hosts.

    Each host counts only the crashes that it saw; hosts exchange their counts by
    gossip.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()

    def record_crash(self, fingerprint: str, now: float) -> int:
        """Record a crash during a request; return the crash count over all hosts."""
        suspect = self._touch_suspect(fingerprint, now)
        suspect.crashes[self._host] = suspect.crashes.get(self._host, 0) + 1
        return sum(suspect.crashes.values())

    def record_completion(self, fingerprint: str) -> None:
        """Reset this host's count for a request that ran to completion."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.crashes[self._host] = 0

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return the crash count over all hosts, 0 once the suspect has expired."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last_crash_at > SUSPECT_RETENTION_S:
            return 0
        return sum(suspect.crashes.values())

    def poisonous(self, fingerprint: str, now: float) -> bool:
        """Return whether a request has crashed too many endpoints to run again."""
        return self.crash_count(fingerprint, now) >= CRASHES_TO_BLOCK

    def own_counts(self, now: float) -> dict[str, int]:
        """Return the counts of this host alone, to be sent to its peers.

        Expired counts are left out: a peer that has forgotten them would renew them.
        """
        return {
            fingerprint: count
            for fingerprint, suspect in self._suspects.items()
            if now - suspect.last_crash_at <= SUSPECT_RETENTION_S
            and (count := suspect.crashes.get(self._host, 0))
        }

    def merge(self, host: str, counts: dict[str, int], now: float) -> None:
        """Merge the counts of a peer; repeated or older counts have no effect."""
        for fingerprint, count in counts.items():
            suspect = self._suspects.get(fingerprint)
            if suspect is None or suspect.crashes.get(host, 0) < count:
                self._touch_suspect(fingerprint, now).crashes[host] = count

    def _touch_suspect(self, fingerprint: str, now: float) -> _Suspect:
        """Return the entry, renewed at `now`; delete expired and surplus entries."""
        suspect = self._suspects.setdefault(fingerprint, _Suspect(now))
        suspect.last_crash_at = now
        self._suspects.move_to_end(fingerprint)
        for oldest, other in list(self._suspects.items()):
            if (
                now - other.last_crash_at <= SUSPECT_RETENTION_S
                and len(self._suspects) <= MAX_SUSPECTS
            ):
                break
            del self._suspects[oldest]
        return suspect
