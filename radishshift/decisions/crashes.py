"""Requests that crash the endpoints which run them.

Load pattern: one poisonous request that its caller sends again and again, at any
host, among others that happened to run where an endpoint crashed.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["CrashSuspects"]

CRASHES_MAX = 2  # crashes before the first event after which none runs again
SUSPECT_RETENTION_S = 60.0  # a suspect is forgotten after this time without a crash
SUSPECTS_MAX = 2000


@dataclass(slots=True)
class _Suspect:
    last: float
    crashes: dict[str, int] = field(default_factory=dict)


class CrashSuspects:
    """Counts of crashes by request, joined over the hosts that tell of them.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()

    def record_crash(self, fingerprint: str, now: float) -> int:
        """Note a crash under a request; return how many are known."""
        suspect = self._suspect(fingerprint, now)
        suspect.crashes[self._host] = suspect.crashes.get(self._host, 0) + 1
        return sum(suspect.crashes.values())

    def record_completion(self, fingerprint: str) -> None:
        """Note that a request ran to its end."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.crashes[self._host] = 0

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return how many crashes are known."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last > SUSPECT_RETENTION_S:
            return 0
        return sum(suspect.crashes.values())

    def poisonous(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request must not run again."""
        return self.crash_count(fingerprint, now) >= CRASHES_MAX

    def own_counts(self) -> dict[str, int]:
        """Return this host's own counts, for its peers."""
        return {
            fingerprint: count
            for fingerprint, suspect in self._suspects.items()
            if (count := suspect.crashes.get(self._host, 0))
        }

    def merge(self, host: str, counts: dict[str, int], now: float) -> None:
        """Take the counts of a peer."""
        for fingerprint, count in counts.items():
            suspect = self._suspects.get(fingerprint)
            if suspect is None or suspect.crashes.get(host, 0) < count:
                self._suspect(fingerprint, now).crashes[host] = count

    def _suspect(self, fingerprint: str, now: float) -> _Suspect:
        suspect = self._suspects.setdefault(fingerprint, _Suspect(now))
        suspect.last = now
        self._suspects.move_to_end(fingerprint)
        for held, other in list(self._suspects.items()):
            if (
                now - other.last <= SUSPECT_RETENTION_S
                and len(self._suspects) <= SUSPECTS_MAX
            ):
                break
            del self._suspects[held]
        return suspect
