"""Requests that crash the endpoints which run them."""

from dataclasses import dataclass, field

from radishshift.errors import PoisonError

__all__ = ["PoisonWatch"]

CRASHES_ALLOWED = 2
MEMORY_S = 3600.0


@dataclass(slots=True)
class _Suspect:
    endpoints: set[str] = field(default_factory=set)
    forget_at: float = 0.0


class PoisonWatch:
    """Counts the endpoints that crashed while they ran a request.

    Parameters
    ----------
    bound : int
        Number of suspects held; the oldest go first.
    """

    def __init__(self, bound: int = 10_000) -> None:
        self._bound = bound
        self._suspects: dict[str, _Suspect] = {}

    def crashed(self, fingerprint: str, endpoint: str, now: float) -> None:
        """Note that an endpoint crashed while it ran a request."""
        suspect = self._suspects.pop(fingerprint, None) or _Suspect()
        suspect.endpoints.add(endpoint)
        suspect.forget_at = now + MEMORY_S
        self._suspects[fingerprint] = suspect
        while len(self._suspects) > self._bound:
            del self._suspects[next(iter(self._suspects))]

    def check(self, fingerprint: str, now: float) -> None:
        """Refuse a request that has crashed enough endpoints.

        Raises
        ------
        PoisonError
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.forget_at <= now:
            return
        if len(suspect.endpoints) >= CRASHES_ALLOWED:
            raise PoisonError("the request has crashed the endpoints that ran it")
