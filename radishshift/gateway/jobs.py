"""A request being routed, with what was decided for all its attempts."""

import secrets
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import xxhash

from radishshift.decisions.crashes import Traits
from radishshift.gateway.deployment import Customer, Member, Route
from radishshift.gateway.messages import AttemptOrder, CallerRequest
from radishshift.gateway.targets import Target

__all__ = ["Job"]

TOKEN_BYTES = 8


@dataclass(slots=True)
class Job:
    """One request with its route, service and deadline.

    Attributes
    ----------
    req : CallerRequest
    route : Route
    service : str
    customer : Customer or None
        None on a public route.
    deadline : float
        Instant by which to answer: the earlier of the caller's and the route's.
    traits : Traits
        What it may have in common with others; the same when a caller sends it again.
    regions : frozenset of str or None
        Regions in which it may run, None for all; route and customer restrict them.
    version : str
        Version of the service to run it on, or empty for any.
    attempts : int
        Number of attempts begun so far.
    used_endpoints : list of str
        Endpoints at which it may have run or may still be running.
    failed_endpoints : list of str
        Endpoints to avoid in further attempts.
    may_have_run : bool
        Whether an attempt may have run.
    lost_at : list of float
        Instants at which attempts lost their endpoints, as after a crash.
    coordinated : int
        Number of attempts whose endpoint the coordinator named.
    unreachable_attempts : int
        Number of attempts for which this host could open no connection.
    helpers : list of str
        Peers that were asked to relay an attempt.
    avoided_helpers : list of str
        Peers that relay the next attempt only if there is no other.
    held_target : Target or None
        Where the next attempt goes, with its retry acquired.
    retry_acquired_at : float or None
        Instant at which the retry for the next attempt was acquired, if it needed one.
    token : str
        Name that no other job has, at whichever host; callers may repeat their ids.
    """

    req: CallerRequest
    route: Route
    service: str
    customer: Customer | None
    deadline: float
    traits: Traits = field(init=False)
    regions: frozenset[str] | None = field(init=False)
    version: str = ""
    attempts: int = 0
    used_endpoints: list[str] = field(default_factory=list)
    failed_endpoints: list[str] = field(default_factory=list)
    may_have_run: bool = False
    lost_at: list[float] = field(default_factory=list)
    coordinated: int = 0
    unreachable_attempts: int = 0
    helpers: list[str] = field(default_factory=list)
    avoided_helpers: list[str] = field(default_factory=list)
    held_target: Target | None = None
    retry_acquired_at: float | None = None
    token: str = field(default_factory=lambda: secrets.token_hex(TOKEN_BYTES))

    def __post_init__(self) -> None:
        """Compute the traits and the regions."""
        name = "" if self.customer is None else self.customer.name
        digest = xxhash.xxh64(f"{name} {self.req.method} {self.req.target}".encode())
        digest.update(self.req.body)
        # The last part is the request's own, or its session's.
        parts = self.req.parts if self.req.session else self.req.parts[:-1]
        shared = (part.digest for part in parts)
        self.traits = Traits.of(digest.hexdigest(), self.service, shared)
        customer_regions = None if self.customer is None else self.customer.regions
        restrictions = [
            frozenset(regions)
            for regions in (self.route.regions, customer_regions)
            if regions is not None
        ]
        self.regions = frozenset.intersection(*restrictions) if restrictions else None

    @property
    def attempt_id(self) -> str:
        """Return the name of the next attempt."""
        return f"{self.token}/{self.attempts}"

    @contextmanager
    def avoiding(self, endpoint: str, helper: str = "") -> Iterator[None]:
        """Choose targets as if the attempt at an endpoint, or by a peer, had failed."""
        self.failed_endpoints.append(endpoint)
        self.avoided_helpers.append(helper)
        try:
            yield
        finally:
            self.failed_endpoints.pop()
            self.avoided_helpers.pop()

    def may_run_in(self, region: str | None) -> bool:
        """Return whether a region, None for an unknown one, may see the request."""
        return self.regions is None or region in self.regions

    @property
    def endpoints_left(self) -> int:
        """Return to how many further endpoints it may be sent."""
        return self.route.endpoints_max - len(set(self.used_endpoints))

    def order(self, member: Member, model: str, last_event_id: str) -> AttemptOrder:
        """Return the order for an attempt at an endpoint."""
        customer = "" if self.customer is None else self.customer.name
        return AttemptOrder(
            self.req, member, customer, self.deadline, model, last_event_id
        )
