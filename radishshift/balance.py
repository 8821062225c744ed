"""Choice of the endpoint that runs an attempt."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from statistics import median

import xxhash

from radishshift.endpoints import Endpoint
from radishshift.errors import NoEndpointError
from radishshift.loads import Candidate

__all__ = [
    "BalancingContext",
    "Candidate",
    "balancer",
    "balancer_names",
    "choose",
]

SUBSET = 12
SHARED_BOUND = 1.4
NEW_BOUND = 1.0
BOUND_SLACK = 0.1
SLOW_FACTOR = 2.5
SLOW_MIN_S = 0.5


@dataclass(frozen=True, slots=True)
class BalancingContext:
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
    host : str
        Name of the entry host that decides.
    prefix_seen : bool
        Whether the prefix has come before.
    """

    served: str
    data_centre: str
    prefix_digest: int
    now: float
    host: str = ""
    prefix_seen: bool = False


Balancer = Callable[[BalancingContext, list[Candidate]], Candidate]

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
    name: str, context: BalancingContext, candidates: Iterable[Candidate]
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
            f"no endpoint in reach takes {context.served}", retry_after_s=1.0
        )
    return _BALANCERS[name](context, found).endpoint


@balancer("least-outstanding")
def least_outstanding(
    context: BalancingContext, candidates: list[Candidate]
) -> Candidate:
    """Take the endpoint with the fewest attempts per slot, at home if it can."""

    def order(candidate: Candidate) -> tuple[float, bool, str]:
        endpoint = candidate.endpoint
        away = endpoint.data_centre != context.data_centre
        return (candidate.in_flight / endpoint.slots, away, endpoint.name)

    return min(candidates, key=order)


@balancer("bounded-affinity")
def bounded_affinity(
    context: BalancingContext, candidates: list[Candidate]
) -> Candidate:
    """Take the prefix's own endpoint, or the next one that is not too busy.

    All hosts rank endpoints by the same hash of the prefix, so they agree on its
    home without a message. An endpoint is passed over while its load is well over
    the mean or its first tokens come far later than the others'.
    """
    near = _at_home(context, candidates)
    usual_s = median(candidate.expected_wait_s for candidate in near)
    slow_s = max(SLOW_MIN_S, SLOW_FACTOR * usual_s)
    mean = sum(candidate.load for candidate in near) / len(near)
    factor = SHARED_BOUND if context.prefix_seen else NEW_BOUND
    bound = factor * mean + BOUND_SLACK
    able = [
        candidate
        for candidate in near
        if candidate.load <= bound and candidate.expected_wait_s <= slow_s
    ]
    if not able:
        return min(_subset(context, near), key=_cost)
    order = sorted(near, key=lambda candidate: _affinity(context, candidate))
    if order[0] in able:
        return order[0]
    return min(
        able, key=lambda candidate: (not candidate.cached, order.index(candidate))
    )


def _at_home(context: BalancingContext, candidates: list[Candidate]) -> list[Candidate]:
    near = [
        candidate
        for candidate in candidates
        if candidate.endpoint.data_centre == context.data_centre
    ]
    return near or candidates


def _subset(context: BalancingContext, candidates: list[Candidate]) -> list[Candidate]:
    """Return the few endpoints that this host turns to when all are busy."""
    return sorted(
        candidates,
        key=lambda candidate: _rank(context.host, candidate.endpoint.name),
    )[:SUBSET]


def _affinity(context: BalancingContext, candidate: Candidate) -> int:
    prefix = context.prefix_digest.to_bytes(8)
    return xxhash.xxh3_64_intdigest(prefix + candidate.endpoint.name.encode())


def _rank(host: str, endpoint: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{host} {endpoint}".encode())


def _cost(candidate: Candidate) -> tuple[float, float, str]:
    wait_s = max(candidate.expected_wait_s, SLOW_MIN_S)
    return (wait_s * (candidate.load + 0.1), candidate.load, candidate.endpoint.name)
