"""Choice of the endpoint for an attempt.

Load pattern: long prompts that share parts, and streams that slow each other down
in one batch, placed by hosts that each see their own work at once and the others'
late. One prompt in ten is ten times as long as the usual, so an attempt whose prompt is
still to be read counts by its length.
"""

from collections.abc import Iterable, Iterator, Sequence, Set
from dataclasses import dataclass, field

import xxhash

from radishshift.circuit_breaker import CircuitBreaker
from radishshift.decisions.routes import uniform
from radishshift.gateway.deployment import Member
from radishshift.prefix_caches import PrefixCaches

__all__ = ["EndpointView", "PlacementRequest", "Placer"]

PACE_SMOOTHING = 0.2
PAUSE_MOST_S = 3.0  # an endpoint that is back serves again within that time
PARTS_KEPT = 400  # parts that an engine is thought to hold; a few for each endpoint
CUT_OFF_S = 1.0  # for which an endpoint that was not reached counts as cut off
ASK_EVERY_S = 0.4  # between questions to it; with the wait for an answer under 1 s
# Requests in flight, more than any endpoint at home has: taken when all else is worse.
CUT_OFF_COST = 300.0
EJECTED_COST = 200.0
TRIED_COST = 100.0
OTHER_CENTRE_COST = 2.0  # requests in flight that a shorter way is worth
# Requests in flight that 1,000 tokens to be read by the largest model are worth: they
# hold a batch up for 70 ms, a stream in it for 0.1 ms a step.
READ_COST_PER_1000_TOKENS = 3.0
MISS_COST_PER_1000_TOKENS = 1.0  # requests in flight that reading again is worth


@dataclass(slots=True)
class EndpointView:
    """What a host has seen of one incarnation of an endpoint.

    Attributes
    ----------
    in_flight : int
        Attempts of this host.
    reading : float
        Thousands of tokens that attempts of this host have yet to be read, in time of
        the largest model.
    others_load : float
        Load by the other hosts, as they last told.
    pace : float
        Smoothed time of answers against the service's, 1 for as usual.
    heard : float
        Instant at which a byte last came from it.
    reached : float
        Instant at which a connection to it was last opened to see whether it lives.
    unreached : float
        Instant at which a connection to it last could not be opened.
    """

    member: Member
    in_flight: int = 0
    prefill_ktokens: float = 0.0
    others_load: float = 0.0
    latency_ratio: float = 1.0
    last_byte_at: float = 0.0
    last_connected_at: float = 0.0
    last_unreachable_at: float = 0.0
    ejection: CircuitBreaker = field(
        default_factory=lambda: CircuitBreaker(max_pause_s=PAUSE_MOST_S)
    )

    @property
    def load(self) -> float:
        """Return what this host has there, in requests in flight."""
        return self.in_flight + READ_COST_PER_1000_TOKENS * self.prefill_ktokens

    def attempt_started(self, prefill_ktokens: float) -> None:
        """Count an attempt, and thousands of tokens that it has yet to be read."""
        self.in_flight += 1
        self.prefill_ktokens += prefill_ktokens

    def prefill_done(self, prefill_ktokens: float) -> None:
        """Note that a prompt has been read, or is to be read no more."""
        self.prefill_ktokens = max(0.0, self.prefill_ktokens - prefill_ktokens)

    def attempt_ended(self) -> None:
        """Count an attempt no more."""
        self.in_flight -= 1
        if not self.in_flight:
            self.prefill_ktokens = 0.0

    @property
    def unreachable(self) -> bool:
        """Tell whether a connection that failed is the last that is known of it."""
        return self.last_unreachable_at > max(self.last_byte_at, self.last_connected_at)

    def record_reachable(self, now: float, opened: bool) -> None:
        """Note that its host answered; one that was left out may serve again."""
        if self.unreachable and opened:
            self.ejection.record_outcome(True, now)
        self.last_connected_at = now

    def record_unreachable(self, now: float) -> None:
        """Leave the endpoint out at once: no connection could be opened."""
        self.last_unreachable_at = now
        self.ejection.failures = max(self.ejection.failures, self.ejection.max_failures)

    def record_latency_ratio(self, ratio: float) -> None:
        """Take in how long an answer took against the usual."""
        self.latency_ratio += PACE_SMOOTHING * (min(ratio, 20.0) - self.latency_ratio)


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a choice depends on.

    Attributes
    ----------
    service, data_centre : str
    affinity : str
        Model and last shared part of the prompt, or empty.
    shared_tokens : int
        Tokens that need not be read where they were read before.
    reading : float
        Thousands of tokens to be read, in time of the largest model.
    tried : sequence of str
        Endpoints that this request has been at.
    version : str
        Version that the endpoint must run, or empty.
    """

    service: str
    data_centre: str
    affinity: str = ""
    shared_tokens: int = 0
    prefill_ktokens: float = 0.0
    tried: Sequence[str] = ()
    version: str = ""


def _part_number(affinity: str) -> int:
    return xxhash.xxh64_intdigest(affinity.encode())


class Placer:
    """Chooses endpoints from what one host knows."""

    def __init__(self) -> None:
        self._views: dict[tuple[str, int], EndpointView] = {}
        self._caches = PrefixCaches(PARTS_KEPT)

    def view(self, member: Member) -> EndpointView:
        """Return what is known of an endpoint."""
        view = self._views.get(member.incarnation)
        if view is None:
            view = EndpointView(member)
            self._views[member.incarnation] = view
        return view

    def views(self) -> Iterable[EndpointView]:
        """Return what is known of all endpoints."""
        return self._views.values()

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget endpoints that are gone and have no attempt."""
        for key, view in list(self._views.items()):
            if key not in incarnations and not view.in_flight:
                del self._views[key]

    def choose(
        self, members: Iterable[Member], question: PlacementRequest, now: float
    ) -> Member | None:
        """Return the endpoint of least cost, or None if there is none.

        One that fails again and again, cannot be reached or has failed this request
        is taken only when no other is left; the one that failed last, never.
        """
        last = question.tried[-1] if question.tried else ""
        pool = [
            self.view(member)
            for member in members
            if member.name != last
            and (not question.version or member.version == question.version)
        ]
        if not pool:
            return None
        cut_off = self._cut_off(question.data_centre, now)
        cached = self._cached(pool, question)
        best = min(
            pool, key=lambda view: self._cost(view, question, cut_off, cached, now)
        )
        best.ejection.record_attempt(now)
        if question.affinity:
            self._caches.record_sent(_part_number(question.affinity), best.member.name)
        return best.member

    def _cached(self, pool: list[EndpointView], question: PlacementRequest) -> Set[str]:
        """Return endpoints that hold the shared part of a prompt, or are to.

        Besides those that it was sent to, it is the one that all hosts agree on.
        """
        if not question.affinity:
            return set()
        home = max(pool, key=lambda view: uniform(question.affinity + view.member.name))
        holders = self._caches.holders(_part_number(question.affinity))
        return holders | {home.member.name}

    def has_alternative(
        self, members: Iterable[Member], question: PlacementRequest, now: float
    ) -> bool:
        """Tell whether an endpoint other than the last tried is thought to serve."""
        cut_off = self._cut_off(question.data_centre, now)
        return any(
            member.name not in question.tried
            and member.data_centre not in cut_off
            and self.view(member).ejection.allows_attempt(now)
            for member in members
        )

    def to_probe(self, members: Iterable[Member], now: float) -> Iterator[EndpointView]:
        """Yield endpoints to be asked for a connection before they get attempts.

        An attempt sent to find out would wait for its connection in vain, and with it
        all that come at the same time.
        """
        for member in members:
            view = self.view(member)
            if view.unreachable and now - view.last_unreachable_at > ASK_EVERY_S:
                yield view

    def _cut_off(self, home: str, now: float) -> set[str]:
        """Return data centres of which endpoints could not be reached.

        One is enough for another data centre, whose link may be cut; two at home.
        """
        counts: dict[str, int] = {}
        for view in self._views.values():
            if view.unreachable and now - view.last_unreachable_at < CUT_OFF_S:
                centre = view.member.data_centre
                counts[centre] = counts.get(centre, 0) + 1
        return {
            centre for centre, count in counts.items() if centre != home or count >= 2
        }

    def _cost(
        self,
        view: EndpointView,
        question: PlacementRequest,
        cut_off: set[str],
        cached: Set[str],
        now: float,
    ) -> float:
        member = view.member
        own = 1 + READ_COST_PER_1000_TOKENS * question.prefill_ktokens
        cost = (own + view.load + view.others_load) * view.latency_ratio
        if member.data_centre != question.data_centre:
            cost += OTHER_CENTRE_COST
        if member.data_centre in cut_off:
            cost += CUT_OFF_COST
        asked = view.unreachable and now - view.last_unreachable_at < CUT_OFF_S
        if asked or not view.ejection.allows_attempt(now):
            cost += EJECTED_COST
        if member.name in question.tried:
            cost += TRIED_COST
        if member.name not in cached:
            cost += question.shared_tokens / 1000 * MISS_COST_PER_1000_TOKENS
        return cost
