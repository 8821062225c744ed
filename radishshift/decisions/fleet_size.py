"""How many hosts there are at most, as far as one host can know.

Load pattern: hosts that are cut from each other, killed or restarted, while each may
use its share of what all hosts together may do. The shares of the parts of a fleet must
not add up to more than the whole, so a host that hears from fewer hosts than before
goes on dividing by the most that it, or a peer, has known lately.
"""

__all__ = ["FleetSize"]

# A host may be cut off for minutes. Hosts that were removed make shares too small for
# that long, which costs little.
RETENTION_S = 600.0


class FleetSize:
    """The largest number of hosts that was known within `RETENTION_S`."""

    def __init__(self) -> None:
        # Counts fall and instants rise, so the first is the largest.
        self._known: list[tuple[int, float]] = []

    def observe(self, hosts: int, now: float, age_s: float = 0.0) -> None:
        """Record a number of hosts that this host or a peer knew of `age_s` ago."""
        at = now - age_s
        if any(count >= hosts and known_at >= at for count, known_at in self._known):
            return
        kept = [
            (count, known_at)
            for count, known_at in self._known
            if count > hosts or known_at > at
        ]
        self._known = sorted([*kept, (hosts, at)], key=lambda known: known[1])

    def largest(self, now: float) -> int:
        """Return the largest number known of late, 0 if none is."""
        return self.report(now)[0]

    def report(self, now: float) -> tuple[int, float]:
        """Return the largest number known of late, and its age in seconds."""
        while self._known and self._known[0][1] <= now - RETENTION_S:
            self._known.pop(0)
        if not self._known:
            return (0, 0.0)
        hosts, at = self._known[0]
        return (hosts, round(now - at, 1))
