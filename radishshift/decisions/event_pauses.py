"""When a silent stream is moved to another endpoint, and when it is no better there.

Load pattern: all endpoints of a service slow down together, so that each stream pauses
for longer than one does at an endpoint that has failed. Moved on, its prompt is read
anew at the next endpoint, where it pauses as well, and adds to the load that slows them
all.
"""

from dataclasses import dataclass, field

__all__ = ["EventPauses"]

MIN_PAUSE_S = 0.8  # engines that read long prompts pause for half of that
RETENTION_S = 30.0
# A stream may pause for this multiple of what streams at other endpoints paused.
PATIENCE_RATIO = 2.0
MAX_TIMEOUT_S = 10.0


@dataclass(slots=True)
class _Endpoint:
    """Streams of one endpoint: when one last went on, and its pauses by instant."""

    received_at: float = 0.0
    pauses: list[tuple[float, float]] = field(default_factory=list)

    def longest_s(self, now: float) -> float:
        self.pauses = [pause for pause in self.pauses if pause[0] > now - RETENTION_S]
        return max((pause_s for _, pause_s in self.pauses), default=0.0)


class EventPauses:
    """Pauses of streams by service and endpoint."""

    def __init__(self) -> None:
        self._services: dict[str, dict[str, _Endpoint]] = {}

    def record(self, service: str, endpoint: str, pause_s: float, now: float) -> None:
        """Record a pause that has ended, or after which a stream was moved."""
        endpoints = self._services.get(service)
        if endpoints is None:
            endpoints = self._services[service] = {}
        known = endpoints.get(endpoint)
        if known is None:
            known = endpoints[endpoint] = _Endpoint()
        known.received_at = now
        if pause_s < MIN_PAUSE_S:
            return
        # Pauses that are shorter than a later one don't matter any more.
        kept = [pause for pause in known.pauses if pause[1] > pause_s]
        known.pauses = [*kept, (now, pause_s)]

    def timeout_s(
        self, service: str, endpoint: str, usual_s: float, now: float
    ) -> float:
        """Return after which silence a stream is to be moved from an endpoint.

        Parameters
        ----------
        service, endpoint : str
        usual_s : float
            What to return unless streams paused at half of the other endpoints, too.
        """
        endpoints = self._services.get(service, {})
        for name in [
            name
            for name, known in endpoints.items()
            if known.received_at <= now - RETENTION_S
        ]:
            del endpoints[name]
        longest_s = sorted(
            known.longest_s(now)
            for name, known in endpoints.items()
            if name != endpoint
        )
        median_s = longest_s[len(longest_s) // 2] if longest_s else 0.0
        return max(usual_s, min(PATIENCE_RATIO * median_s, MAX_TIMEOUT_S))
