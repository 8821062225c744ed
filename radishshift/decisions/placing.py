"""Choice of the endpoint for an attempt.

Load pattern: long prompts with shared prefixes, and streams that slow each other down
in one batch. Each host sees its own load at once and that of the other hosts with a
delay. One prompt in ten is ten times as long as the average, so an attempt in its
prefill phase is weighted by prompt length, less what the endpoint holds of the prompt.
"""

import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from radishshift.circuit_breaker import CircuitBreaker
from radishshift.decisions.endpoint_limits import Incarnation
from radishshift.decisions.held_prefixes import HeldPrefixes, Part
from radishshift.decisions.routes import uniform
from radishshift.gateway.deployment import Member

__all__ = [
    "COORDINATED_REMOTE_COST",
    "REQUEST_S",
    "EndpointView",
    "PlacementRequest",
    "Placer",
    "Terms",
]

LATENCY_SMOOTHING = 0.2
MAX_PAUSE_S = 3.0  # a recovered endpoint serves again within this time
UNREACHABLE_PENALTY_S = 1.0  # after a failed connection the endpoint is avoided
PROBE_INTERVAL_S = 0.4  # between probes; with the probe's timeout less than 1 s
# Costs are in requests in flight. Each of the next three exceeds the load of any local
# endpoint, so an endpoint with such a cost is chosen only if all others cost more.
CUT_OFF_CENTRE_COST = 300.0
UNAVAILABLE_COST = 200.0
TRIED_COST = 100.0
REMOTE_CENTRE_COST = 2.0  # for the longer network path
# A coordinator sees each choice for its own data centre at once, but for the others
# only sums that are half a second old: several would choose the same remote endpoint.
COORDINATED_REMOTE_COST = 6.0
# While 1,000 tokens are prefilled by the largest model, the other streams in the batch
# wait for 70 ms; a further stream in the batch delays each step by 0.1 ms.
PREFILL_COST_PER_1000_TOKENS = 3.0
PREFILL_S_PER_1000_TOKENS = 0.07
OWN_TIME_SHARE = 1 / 3  # of the cost of a prefill; the rest is the delay of others
USUAL_LOAD = 10.0  # requests in flight at which others are delayed by that much
# A further copy of a shared part makes parts of other prompts yield; these are then
# read again.
COPY_COST_PER_1000_TOKENS = 1.0
# Streams of one endpoint together pause for less, unless it stands still.
STANDSTILL_S = 0.4
REQUEST_S = PREFILL_S_PER_1000_TOKENS / PREFILL_COST_PER_1000_TOKENS


@dataclass(slots=True)
class EndpointView:
    """What a host knows about one incarnation of an endpoint.

    Attributes
    ----------
    in_flight : int
        Attempts of this host that are running.
    prefill_ktokens : float
        Thousands of prompt tokens of this host's attempts that await prefill,
        weighted as if the largest model processed them.
    others_load : float
        Load by the other hosts, as they last reported.
    latency_ratio : float
        Moving average of answer times relative to the service's mean; 1 is average.
    last_byte_at : float
        Time at which the last byte was received from it.
    went_on_at : float
        Time at which it last sent a byte after it had sent none for `STANDSTILL_S`.
    last_reachable_at : float
        Time of the last connection probe that its host answered.
    last_unreachable_at : float
        Time at which a connection to it last could not be opened.
    circuit_breaker : CircuitBreaker
        Excludes the endpoint after repeated failures.
    """

    member: Member
    in_flight: int = 0
    prefill_ktokens: float = 0.0
    others_load: float = 0.0
    latency_ratio: float = 1.0
    last_byte_at: float = 0.0
    went_on_at: float = 0.0
    last_reachable_at: float = 0.0
    last_unreachable_at: float = 0.0
    circuit_breaker: CircuitBreaker = field(
        default_factory=lambda: CircuitBreaker(max_pause_s=MAX_PAUSE_S)
    )

    @property
    def load(self) -> float:
        """Return the load of this host's attempts, in requests in flight."""
        return self.in_flight + PREFILL_COST_PER_1000_TOKENS * self.prefill_ktokens

    def attempt_started(self, prefill_ktokens: float) -> None:
        """Add an attempt and the thousands of tokens of its pending prefill."""
        self.in_flight += 1
        self.prefill_ktokens += prefill_ktokens

    def prefill_done(self, prefill_ktokens: float) -> None:
        """Subtract a prefill that is done or no longer needed."""
        self.prefill_ktokens = max(0.0, self.prefill_ktokens - prefill_ktokens)

    def attempt_ended(self) -> None:
        """Remove an attempt."""
        self.in_flight -= 1
        if not self.in_flight:
            self.prefill_ktokens = 0.0

    def record_byte(self, now: float) -> None:
        """Record that data was received from it."""
        if now - self.last_byte_at > STANDSTILL_S:
            self.went_on_at = now
        self.last_byte_at = now

    @property
    def unreachable(self) -> bool:
        """Return whether the latest contact was a connection that failed."""
        return self.last_unreachable_at > max(self.last_byte_at, self.last_reachable_at)

    def record_reachable(self, now: float, opened: bool) -> None:
        """Record that its host answered; an opened connection closes the breaker."""
        if self.unreachable and opened:
            self.circuit_breaker.record_outcome(True, now)
        self.last_reachable_at = now

    def record_unreachable(self, now: float) -> None:
        """Record a failed connection.

        The endpoint is avoided for `UNREACHABLE_PENALTY_S`; the next recorded failure
        opens its circuit breaker.
        """
        self.last_unreachable_at = now
        self.circuit_breaker.failures = max(
            self.circuit_breaker.failures, self.circuit_breaker.max_failures
        )

    def record_latency_ratio(self, ratio: float) -> None:
        """Add the ratio of an answer's time to the mean."""
        self.latency_ratio += LATENCY_SMOOTHING * (
            min(ratio, 20.0) - self.latency_ratio
        )


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Properties of an attempt that determine its placement.

    Attributes
    ----------
    service, data_centre : str
    affinity : str
        Model and digest of the last shared prompt part, or empty.
    shared_tokens : int
        Tokens whose prefill is saved on an endpoint with the prefix cached.
    prefill_ktokens : float
        Thousands of tokens to prefill, weighted as for the largest model.
    parts : sequence of tuple
        Names and tokens of the parts of the prompt that others may share; the name
        holds the model.
    prompt_tokens : int
        Tokens of the whole prompt.
    sees_prompts : bool
        Whether the chooser sees nearly all prompts that its endpoints get, so that it
        knows what they hold. A host that sees its own alone would keep copies apart
        from those of the other hosts.
    tried : sequence of str
        Endpoints that this request has tried, in order.
    version : str
        Version that the endpoint must run, or empty for any.
    remote_cost : float
        Cost of an endpoint in another data centre, in requests in flight.
    excluded : sequence of str
        Endpoints that the host must not use now; they are not among those to choose
        from at that host.
    """

    service: str
    data_centre: str
    affinity: str = ""
    shared_tokens: int = 0
    prefill_ktokens: float = 0.0
    tried: Sequence[str] = ()
    version: str = ""
    remote_cost: float = REMOTE_CENTRE_COST
    excluded: Sequence[str] = ()
    parts: Sequence[Part] = ()
    prompt_tokens: int = 0
    sees_prompts: bool = False

    @property
    def own_load(self) -> float:
        """Return the load of the attempt, in requests in flight."""
        return 1 + PREFILL_COST_PER_1000_TOKENS * self.prefill_ktokens

    def saved_load(self, held_tokens: int, load: float) -> float:
        """Return the part of `own_load` that an endpoint saves by what it holds.

        A third of it is the time of this request. The rest is the delay of the streams
        that run there, few or many.

        Parameters
        ----------
        held_tokens : int
        load : float
            Load of the endpoint, in requests in flight.
        """
        if not held_tokens or not self.prompt_tokens:
            return 0.0
        share = min(1.0, held_tokens / self.prompt_tokens)
        delayed = OWN_TIME_SHARE + (1 - OWN_TIME_SHARE) * min(1.0, load / USUAL_LOAD)
        return PREFILL_COST_PER_1000_TOKENS * self.prefill_ktokens * share * delayed


@dataclass(slots=True)  # not frozen, as one is made for each endpoint of each choice
class Terms:
    """What an attempt would cost at one endpoint, in requests in flight.

    A request in flight stands for `REQUEST_S` seconds of the callers' time.

    Attributes
    ----------
    own : float
        The attempt and the prefill of its whole prompt.
    saved : float
        Prefill that is not needed, by what the endpoint holds.
    copy : float
        For the memory that a further copy of the shared parts takes.
    load : float
        Running attempts and pending prefill there, of all hosts.
    slowness : float
        Factor on the terms before, from the endpoint's answer times.
    remote : float
        For the path to another data centre, and for one that seems cut off.
    failures : float
        For an endpoint that is to be avoided, or that has failed this request.
    """

    own: float
    saved: float
    copy: float
    load: float
    slowness: float
    remote: float
    failures: float

    @property
    def total(self) -> float:
        """Return the sum by which endpoints are compared."""
        work = (self.own - self.saved + self.load) * self.slowness
        return work + self.copy + self.remote + self.failures


class Placer:
    """Chooses endpoints by what one host knows about them.

    Attributes
    ----------
    prefixes : HeldPrefixes
    room_tokens : callable
        Returns the memory of a service's endpoints in tokens, infinite if unknown.
    """

    def __init__(self) -> None:
        self._views: dict[tuple[str, int], EndpointView] = {}
        self.prefixes = HeldPrefixes()
        self.room_tokens: Callable[[str], float] = lambda service: math.inf

    def view(self, member: Member) -> EndpointView:
        """Return the view of an endpoint, created on first use."""
        view = self._views.get(member.incarnation)
        if view is None:
            view = EndpointView(member)
            self._views[member.incarnation] = view
        return view

    def views(self) -> Iterable[EndpointView]:
        """Return the views of all endpoints."""
        return self._views.values()

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Drop the views of other endpoints, unless they have attempts in flight."""
        for key, view in list(self._views.items()):
            if key not in incarnations and not view.in_flight:
                del self._views[key]
        self.prefixes.keep_only(incarnations)

    def choose(
        self, members: Iterable[Member], request: PlacementRequest, now: float
    ) -> Member | None:
        """Return the best endpoint, and record that an attempt is sent to it.

        None if there is no endpoint.
        """
        best = self.best(members, request, now)
        if best is not None:
            self.record_choice(best, request, now)
        return best

    def best(
        self, members: Iterable[Member], request: PlacementRequest, now: float
    ) -> Member | None:
        """Return the endpoint of lowest cost, or None if there is none.

        An endpoint whose circuit breaker is open, that was recently unreachable or that
        has failed this request is chosen only if no other is left; the one that failed
        last is never chosen.
        """
        last = request.tried[-1] if request.tried else ""
        pool = [
            self.view(member)
            for member in members
            if member.name != last
            and (not request.version or member.version == request.version)
        ]
        if not pool:
            return None
        best, _ = min(self._terms_of(pool, request, now), key=_total)
        return best.member

    def explain(
        self, members: Iterable[Member], request: PlacementRequest, now: float
    ) -> dict[Incarnation, Terms]:
        """Return what an attempt would cost at each endpoint, without choosing."""
        pool = [self.view(member) for member in members]
        return {
            view.member.incarnation: terms
            for view, terms in self._terms_of(pool, request, now)
        }

    def _terms_of(
        self, pool: list[EndpointView], request: PlacementRequest, now: float
    ) -> Iterator[tuple[EndpointView, Terms]]:
        cut_off_centres = self._cut_off_centres(request.data_centre, now)
        home = self._home(pool, request)
        for view in pool:
            yield view, self._terms(view, request, cut_off_centres, home, now)

    def record_choice(
        self, member: Member, request: PlacementRequest, now: float
    ) -> None:
        """Record that an attempt is sent to an endpoint."""
        self.view(member).circuit_breaker.record_attempt(now)
        if request.parts:
            shared_tokens = sum(tokens for _, tokens in request.parts)
            own_tokens = max(0, request.prompt_tokens - shared_tokens)
            room_tokens = self.room_tokens(request.service)
            self.prefixes.record_sent(
                member.incarnation, request.parts, own_tokens, room_tokens, now
            )

    def unavailable(self, members: Iterable[Member], now: float) -> Iterator[Member]:
        """Yield the endpoints that are to be avoided after failures."""
        for member in members:
            if self._is_unavailable(self.view(member), now):
                yield member

    def _is_unavailable(self, view: EndpointView, now: float) -> bool:
        return self._recently_unreachable(
            view, now
        ) or not view.circuit_breaker.allows_attempt(now)

    @staticmethod
    def _recently_unreachable(view: EndpointView, now: float) -> bool:
        return (
            view.unreachable and now - view.last_unreachable_at < UNREACHABLE_PENALTY_S
        )

    def _home(self, pool: list[EndpointView], request: PlacementRequest) -> str:
        """Return the endpoint that should hold the shared prefix, or an empty string.

        It is the one with the highest rendezvous hash, so that hosts which do not know
        of each other's prompts send them to the same endpoint.
        """
        if not request.affinity or not pool:
            return ""
        home = max(pool, key=lambda view: uniform(request.affinity + view.member.name))
        return home.member.name

    def has_alternative(
        self, members: Iterable[Member], request: PlacementRequest, now: float
    ) -> bool:
        """Return whether an endpoint that was not tried is available."""
        cut_off_centres = self._cut_off_centres(request.data_centre, now)
        return any(
            member.name not in request.tried
            and member.data_centre not in cut_off_centres
            and self.view(member).circuit_breaker.allows_attempt(now)
            for member in members
        )

    def to_probe(self, members: Iterable[Member], now: float) -> Iterator[EndpointView]:
        """Yield unreachable endpoints that are due for a connection probe.

        A request used as a test would wait for a connection that may never open, as
        would others sent to the endpoint at the same time.
        """
        for member in members:
            view = self.view(member)
            if view.unreachable and now - view.last_unreachable_at > PROBE_INTERVAL_S:
                yield view

    def _cut_off_centres(self, home: str, now: float) -> set[str]:
        """Return the data centres that seem cut off.

        One unreachable endpoint is enough for a remote data centre, as the link to it
        may be down; for the local data centre two are required.
        """
        counts: dict[str, int] = {}
        for view in self._views.values():
            if self._recently_unreachable(view, now):
                centre = view.member.data_centre
                counts[centre] = counts.get(centre, 0) + 1
        return {
            centre for centre, count in counts.items() if centre != home or count >= 2
        }

    def _terms(
        self,
        view: EndpointView,
        request: PlacementRequest,
        cut_off_centres: set[str],
        home: str,
        now: float,
    ) -> Terms:
        member = view.member
        held_tokens = self.prefixes.held_tokens(member.incarnation, request.parts, now)
        copied_tokens = max(0, request.shared_tokens - held_tokens)
        if member.name == home:
            copied_tokens = 0
        load = view.load + view.others_load
        remote = failures = 0.0
        if member.data_centre != request.data_centre:
            remote += request.remote_cost
        if member.data_centre in cut_off_centres:
            remote += CUT_OFF_CENTRE_COST
        if self._is_unavailable(view, now):
            failures += UNAVAILABLE_COST
        if member.name in request.tried:
            failures += TRIED_COST
        return Terms(
            own=request.own_load,
            saved=(
                request.saved_load(held_tokens, load) if request.sees_prompts else 0.0
            ),
            copy=COPY_COST_PER_1000_TOKENS * copied_tokens / 1000,
            load=load,
            slowness=view.latency_ratio,
            remote=remote,
            failures=failures,
        )


def _total(candidate: tuple[EndpointView, Terms]) -> float:
    return candidate[1].total
