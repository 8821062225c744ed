"""Choice of the endpoint that runs an attempt."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from radishshift.endpoints import Endpoint
from radishshift.errors import NoEndpointError

__all__ = [
    "BalanceQuestion",
    "Candidate",
    "EndpointLoads",
    "balancer",
    "balancer_names",
    "choose",
]

SMOOTHING = 0.2


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint as one entry host sees it.

    Attributes
    ----------
    endpoint : Endpoint
    in_flight : int
        Attempts of this host that have not ended.
    expected_wait_s : float
        Estimate of the time to the first token, in seconds.
    """

    endpoint: Endpoint
    in_flight: int
    expected_wait_s: float


@dataclass(frozen=True, slots=True)
class BalanceQuestion:
    """What a balancer decides by.

    Attributes
    ----------
    served : str
        Version or service.
    data_centre : str
        The host's own.
    prefix_digest : int
        Hash of the start of the prompt; requests that share it share a cache.
    now : float
        Instant.
    """

    served: str
    data_centre: str
    prefix_digest: int
    now: float


Balancer = Callable[[BalanceQuestion, list[Candidate]], Candidate]

_BALANCERS: dict[str, Balancer] = {}


def balancer(name: str) -> Callable[[Balancer], Balancer]:
    """Register a balancer under the name that the catalogue uses."""

    def register(func: Balancer) -> Balancer:
        _BALANCERS[name] = func
        return func

    return register


def balancer_names() -> list[str]:
    """Return the names that a catalogue may give."""
    return sorted(_BALANCERS)


def choose(
    name: str, question: BalanceQuestion, candidates: Iterable[Candidate]
) -> Endpoint:
    """Return the endpoint that the balancer of that name chooses.

    Raises
    ------
    NoEndpointError
        There is no candidate.
    """
    found = list(candidates)
    if not found:
        raise NoEndpointError(
            f"no endpoint in reach takes {question.served}", retry_after_s=1.0
        )
    return _BALANCERS[name](question, found).endpoint


@dataclass(slots=True)
class _Load:
    in_flight: int = 0
    wait_s: float = 0.0


@dataclass(slots=True)
class EndpointLoads:
    """View that one host has of how busy endpoints are."""

    _loads: dict[str, _Load] = field(default_factory=dict)

    def started(self, endpoint: Endpoint) -> None:
        """Note that an attempt was sent."""
        self._loads.setdefault(endpoint.name, _Load()).in_flight += 1

    def first_token(self, endpoint: Endpoint, wait_s: float) -> None:
        """Note how long an attempt waited for its first token, in seconds."""
        load = self._loads.setdefault(endpoint.name, _Load())
        load.wait_s += SMOOTHING * (wait_s - load.wait_s)

    def ended(self, endpoint: Endpoint) -> None:
        """Note that an attempt has ended."""
        self._loads[endpoint.name].in_flight -= 1

    def candidates(self, endpoints: Iterable[Endpoint]) -> Iterator[Candidate]:
        """Yield endpoints with what is known of their load."""
        for endpoint in endpoints:
            load = self._loads.get(endpoint.name, _Load())
            yield Candidate(endpoint, load.in_flight, load.wait_s)


@balancer("least-outstanding")
def least_outstanding(
    question: BalanceQuestion, candidates: list[Candidate]
) -> Candidate:
    """Take the endpoint with the fewest attempts per slot, at home if it can."""

    def order(candidate: Candidate) -> tuple[float, bool, str]:
        endpoint = candidate.endpoint
        away = endpoint.data_centre != question.data_centre
        return (candidate.in_flight / endpoint.slots, away, endpoint.name)

    return min(candidates, key=order)
