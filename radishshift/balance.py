"""Load-balancing policies that choose the endpoint of an attempt."""

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

FALLBACK_SUBSET_SIZE = 12
# Bound on the load of an endpoint, as a multiple of the mean plus a constant.
SEEN_PREFIX_LOAD_FACTOR = 1.4
NEW_PREFIX_LOAD_FACTOR = 1.0
LOAD_BOUND_SLACK = 0.1  # requests per slot
# Bound on the expected time to first token: a multiple of the median, and a minimum.
SLOW_WAIT_FACTOR = 2.5
SLOW_WAIT_MIN_S = 0.5


@dataclass(frozen=True, slots=True)
class BalancingContext:
    """Inputs of a balancing decision, apart from the candidates.

    Attributes
    ----------
    served_name : str
        Name of the version or service.
    data_centre : str
        Data centre of the deciding host.
    prefix_digest : int
        Hash of the start of the prompt; requests with equal ones can share a KV cache.
    now : float
        Current time.
    host : str
        Name of the entry host that decides.
    prefix_seen : bool
        Whether this host has seen the prefix before.
    """

    served_name: str
    data_centre: str
    prefix_digest: int
    now: float
    host: str = ""
    prefix_seen: bool = False


Balancer = Callable[[BalancingContext, list[Candidate]], Candidate]

_BALANCERS: dict[str, Balancer] = {}


def balancer(name: str) -> Callable[[Balancer], Balancer]:
    """Register a balancer under the name by which a catalogue selects it."""

    def register(func: Balancer) -> Balancer:
        _BALANCERS[name] = func
        return func

    return register


def balancer_names() -> list[str]:
    """Return the names of the registered balancers."""
    return sorted(_BALANCERS)


def choose(
    name: str, context: BalancingContext, candidates: Iterable[Candidate]
) -> Endpoint:
    """Return the endpoint chosen by the named balancer.

    Raises
    ------
    NoEndpointError
        There are no candidates.
    """
    candidate_list = list(candidates)
    if not candidate_list:
        raise NoEndpointError(
            f"no endpoint is available for {context.served_name}", retry_after_s=1.0
        )
    return _BALANCERS[name](context, candidate_list).endpoint


@balancer("least-outstanding")
def least_outstanding(
    context: BalancingContext, candidates: list[Candidate]
) -> Candidate:
    """Choose the endpoint with the fewest attempts per slot.

    Ties go to an endpoint of the host's own data centre.
    """

    def order(candidate: Candidate) -> tuple[float, bool, str]:
        endpoint = candidate.endpoint
        is_remote = endpoint.data_centre != context.data_centre
        return (candidate.in_flight / endpoint.slots, is_remote, endpoint.name)

    return min(candidates, key=order)


@balancer("bounded-affinity")
def bounded_affinity(
    context: BalancingContext, candidates: list[Candidate]
) -> Candidate:
    """Choose by rendezvous hashing of the prefix, with bounded load.

    All hosts rank endpoints by the same hash of the prefix, so they agree on the
    preferred endpoint without exchanging messages. An endpoint is skipped while its
    load is well above the mean or its expected time to the first token is far above
    the median. Among the others, those that have the prefix cached come first.
    """
    local = _local_candidates(context, candidates)
    median_wait_s = median(candidate.expected_wait_s for candidate in local)
    slow_wait_s = max(SLOW_WAIT_MIN_S, SLOW_WAIT_FACTOR * median_wait_s)
    mean_load = sum(candidate.load for candidate in local) / len(local)
    factor = SEEN_PREFIX_LOAD_FACTOR if context.prefix_seen else NEW_PREFIX_LOAD_FACTOR
    load_bound = factor * mean_load + LOAD_BOUND_SLACK
    eligible = [
        candidate
        for candidate in local
        if candidate.load <= load_bound and candidate.expected_wait_s <= slow_wait_s
    ]
    if not eligible:
        return min(_fallback_subset(context, local), key=_expected_cost)
    order = sorted(local, key=lambda candidate: _affinity_hash(context, candidate))
    if order[0] in eligible:
        return order[0]
    return min(
        eligible, key=lambda candidate: (not candidate.cached, order.index(candidate))
    )


def _local_candidates(
    context: BalancingContext, candidates: list[Candidate]
) -> list[Candidate]:
    local = [
        candidate
        for candidate in candidates
        if candidate.endpoint.data_centre == context.data_centre
    ]
    return local or candidates


def _fallback_subset(
    context: BalancingContext, candidates: list[Candidate]
) -> list[Candidate]:
    """Return the endpoints that this host uses when none is eligible.

    Each host uses a subset of its own, by a hash of its name.
    """
    return sorted(
        candidates,
        key=lambda candidate: _host_rank(context.host, candidate.endpoint.name),
    )[:FALLBACK_SUBSET_SIZE]


def _affinity_hash(context: BalancingContext, candidate: Candidate) -> int:
    prefix = context.prefix_digest.to_bytes(8)
    return xxhash.xxh3_64_intdigest(prefix + candidate.endpoint.name.encode())


def _host_rank(host: str, endpoint: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{host} {endpoint}".encode())


def _expected_cost(candidate: Candidate) -> tuple[float, float, str]:
    wait_s = max(candidate.expected_wait_s, SLOW_WAIT_MIN_S)
    # 0.1 is added so that the wait counts also where the load is 0.
    return (wait_s * (candidate.load + 0.1), candidate.load, candidate.endpoint.name)
