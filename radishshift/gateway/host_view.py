"""A host's view of the configuration, the endpoints and the roll-outs.

Each object comes from the platform's store or from a peer and is merged by revision,
so that no object reverts to an older state, whichever source delivers it first.
"""

import math
from collections.abc import Container, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import chain

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.cold_endpoints import ColdEndpoints
from radishshift.decisions.freshness import Freshness
from radishshift.decisions.routes import RouteTable
from radishshift.decisions.stated_departures import DepartureReport, StatedDepartures
from radishshift.decisions.store_restores import StoreRestores
from radishshift.endpoints import EndpointState
from radishshift.errors import NotFoundError, UnreadableObjectError
from radishshift.gateway.deployment import Deployment, Member, Rollout, RolloutState
from radishshift.gateway.host_settings import Bounds
from radishshift.gateway.object_decoder import ObjectDecoder
from radishshift.object_table import Head, ObjectTable, TableDelta
from radishshift.objects import (
    ChangeType,
    Kind,
    Listing,
    ObjectChange,
    StoredObject,
    era_of,
)

__all__ = ["KINDS", "LARGE_KINDS", "Departure", "HostView", "kinds_in_use"]

KINDS = (Kind.DEPLOYMENT, Kind.ENDPOINT, Kind.ROLLOUT, Kind.BLOCKED_PART)
# Kinds whose changes have to be followed within a stated time.
URGENT_KINDS = (Kind.DEPLOYMENT, Kind.ENDPOINT, Kind.EVACUATION)
# Kinds whose listing takes the link of a small host for a second or so. A resync reads
# their changes, a new watch begins at the revision that is known, and a host takes them
# from one peer at a time.
LARGE_KINDS = frozenset({Kind.DEPLOYMENT})
# Earlier configurations; a peer that holds one is sent changes instead of all routes.
PAST_STATES = {Kind.DEPLOYMENT: 4}
DEPARTED_RETENTION_S = 30.0  # an endpoint's address is reused far sooner
LAPSED_RETENTION_S = 2.5  # live endpoints are listed again within 2 s
# Share of `drain_s` for which a lapsed endpoint is used; after `drain_s` it may get no
# requests.
LAPSED_USE_SHARE = 0.85

DEFAULT_BOUNDS = Bounds()

logger = logbook.Logger("beliefs")


@dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint that is leaving or gone, and when this host learnt of it.

    Attributes
    ----------
    announced : bool
        Whether it announced that it was leaving; else it was only delisted.
    """

    member: Member
    at: float
    announced: bool = True


def kinds_in_use(bounds: Bounds) -> tuple[Kind, ...]:
    """Return the kinds of objects that hosts follow in a deployment."""
    return (*KINDS, Kind.EVACUATION) if bounds.evacuation_s else KINDS


class HostView:
    """What one host knows, derived from its tables of the platform's objects.

    Parameters
    ----------
    decoder : ObjectDecoder
    clock : Clock
    drain_s : float
        Time after an endpoint's departure from which it may get no requests.
    kinds : sequence of Kind
        Kinds of objects to follow.

    Attributes
    ----------
    deployment : Deployment or None
        The configuration in force at this host; its version never decreases.
    routes : RouteTable
    members : dict of str to Member
        Endpoints that take new work, by name.
    departed : dict of str to Departure
        Endpoints that no longer take new work, by name.
    rollouts : dict of str to Rollout
        By service.
    blocked_parts : dict of str to float
        Parts of prompts that crash endpoints, by trait, with the time at which each was
        blocked, in seconds since the epoch.
    evacuated : frozenset of str
        Data centres whose endpoints must not be used, by order of the operators.
    cold : ColdEndpoints
    restores : StoreRestores
    lost_statuses : dict of str to RolloutState
        Final states of roll-outs, by service, that the store lost when it was restored.
    lost_parts : dict of str to float
        Blocked parts that it lost.
    freshness : Freshness
        How old what is known of the urgent kinds may be.
    """

    def __init__(
        self,
        decoder: ObjectDecoder,
        clock: Clock,
        drain_s: float = DEFAULT_BOUNDS.drain_s,
        kinds: Sequence[Kind] = KINDS,
    ) -> None:
        self.kinds = tuple(kinds)
        self._drain_s = drain_s
        self._decoder = decoder
        self._clock = clock
        ranks = {Kind.DEPLOYMENT: decoder.version_of}
        self.tables = {
            kind: ObjectTable(kind, PAST_STATES.get(kind, 0), ranks.get(kind))
            for kind in kinds
        }
        self.deployment: Deployment | None = None
        self.routes = RouteTable(())
        self.members: dict[str, Member] = {}
        self.departed: dict[str, Departure] = {}
        self.rollouts: dict[str, Rollout] = {}
        self.blocked_parts: dict[str, float] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.cold = ColdEndpoints()
        self.freshness = Freshness([kind for kind in URGENT_KINDS if kind in kinds])
        self.restores = StoreRestores()
        self.lost_statuses: dict[str, RolloutState] = {}
        self.lost_parts: dict[str, float] = {}
        self._stated_departures = StatedDepartures()
        self._decoded: dict[str, tuple[int, Member | None]] = {}
        self._lapsed_until = 0.0

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return 0 if self.deployment is None else self.deployment.version

    @property
    def loaded(self) -> bool:
        """Return whether all is known that a request needs.

        That is a configuration, endpoints, and the orders not to use some of them.
        """
        orders = self.tables.get(Kind.EVACUATION)
        return (
            self.deployment is not None
            and bool(self.members)
            and (orders is None or orders.head.complete > 0)
        )

    def heads(self) -> dict[str, Head]:
        """Return the heads of all tables, for comparison with a peer's."""
        return {kind.value: table.head for kind, table in self.tables.items()}

    def apply(self, kind: Kind, update: Listing | ObjectChange) -> bool:
        """Apply an update from the platform; return whether anything changed."""
        table = self.tables[kind]
        if isinstance(update, Listing):
            items = tuple(map(_embed_status, update.items))
            changed = table.apply_listing(Listing(items, update.revision))
        elif update.type is ChangeType.BOOKMARK:
            table.confirm(update.item.revision)
            return False
        elif update.type is ChangeType.DELETED:
            changed = table.apply_deletion(update.item.name, update.item.revision)
        else:
            changed = table.upsert(_embed_status(update.item))
        self._observe_era(kind)
        if changed:
            self._derive(kind, "platform")
        return changed

    def _observe_era(self, kind: Kind) -> None:
        """Begin to hold what is believed if the store has been restored."""
        revision = self.tables[kind].head.complete
        now = self._clock.now()
        known = self.deployment is not None
        if self.restores.observe(revision, known, now):
            self._lapsed_until = max(self._lapsed_until, now + LAPSED_RETENTION_S)
            logger.warning("store was restored", extra={"era": self.restores.era})

    def merge_written(self, stored: StoredObject) -> bool:
        """Merge an object that this host has written or read by its name.

        Returns
        -------
        bool
            Whether it was news.
        """
        changed = self.tables[stored.kind].merge_object(_embed_status(stored))
        if changed:
            self._derive(stored.kind, "platform")
        return changed

    def confirm(self, heads: Mapping[str, Head]) -> None:
        """Confirm the tables that are equal to a peer's, up to the peer's revisions."""
        for kind, table in self.tables.items():
            head = heads.get(kind.value)
            if head is not None and head.digest == table.head.digest:
                table.confirm(head.complete)

    def confirm_freshness(
        self, heads: Mapping[str, Head], asked_at: float, age_s: float
    ) -> None:
        """Record as fresh the tables that are equal to a peer's.

        Parameters
        ----------
        heads : mapping of str to Head
            Heads of the peer's tables, by kind.
        asked_at : float
            Instant at which the peer was asked for them.
        age_s : float
            Seconds for which it had not compared its tables with the store's.
        """
        for kind, table in self.tables.items():
            head = heads.get(kind.value)
            if head is not None and head.digest == table.head.digest:
                self.freshness.confirm(kind, asked_at, age_s)

    def merge(self, kind: Kind, delta: TableDelta, peer: str) -> bool:
        """Merge a peer's table delta; return whether anything changed."""
        changed = self.tables[kind].merge(delta)
        self._observe_era(kind)
        if changed:
            self._derive(kind, peer)
        return changed

    def record_leaving(self, member: Member) -> bool:
        """Take an endpoint that says it leaves out of rotation.

        Returns
        -------
        bool
            Whether it was not known to leave.
        """
        news = self._stated_departures.record(member.incarnation, self._clock.now())
        if news:
            self._derive_members("answer")
        return news

    def departure_reports(self) -> list[DepartureReport]:
        """Return the endpoints that have said that they leave, for peers."""
        return self._stated_departures.reports(self._clock.now())

    def merge_departures(self, reports: Iterable[DepartureReport], peer: str) -> None:
        """Take the endpoints out of rotation that a peer knows to leave."""
        if self._stated_departures.merge(reports, self._clock.now()):
            self._derive_members(peer)

    def expire(self) -> None:
        """Forget what endpoints that are gone have said; end a hold that is over."""
        if -math.inf < self.restores.held_until <= self._clock.now():
            self.restores.held_until = -math.inf
            for kind in self.kinds:
                self._derive(kind, "end of a hold")
        listed = {member.incarnation for member in self._listed_members()}
        self.cold.keep_only(listed)
        self._stated_departures.expire(listed, self._clock.now())

    def known_members(self) -> Iterator[Member]:
        """Yield the endpoints in use or departed lately."""
        departed = (departure.member for departure in self.departed.values())
        yield from chain(self.members.values(), departed)

    def known_endpoints(self) -> set[tuple[str, int]]:
        """Return the incarnations of the endpoints in use or departed lately."""
        return {member.incarnation for member in self.known_members()}

    def record_store_recovery(self, recovered_at: float | None) -> None:
        """Record when the platform's store last became available after an outage.

        Endpoints whose registration lapsed during the outage are listed again soon if
        they are alive, so they stay in use for a short time.
        """
        if recovered_at is not None:
            until = recovered_at + LAPSED_RETENTION_S
            self._lapsed_until = max(self._lapsed_until, until)

    def members_of(self, service: str) -> Iterator[Member]:
        """Yield the endpoints of a service that take new work.

        Soon after an outage of the store this includes endpoints that were delisted.
        Endpoints of evacuated data centres are left out.
        """
        for member in self._members_anywhere(service):
            if member.data_centre not in self.evacuated:
                yield member

    def _members_anywhere(self, service: str) -> Iterator[Member]:
        for member in self.members.values():
            if member.service == service:
                yield member
        if self._clock.now() >= self._lapsed_until:
            return
        since = max(
            self._lapsed_until - 2 * LAPSED_RETENTION_S,
            self._clock.now() - LAPSED_USE_SHARE * self._drain_s,
        )
        for departure in self.departed.values():
            lapsed = not departure.announced and departure.at > since
            if lapsed and departure.member.service == service:
                yield departure.member

    def model_costs(self, service: str) -> Mapping[str, float]:
        """Return the price of 1,000 generated tokens by model, empty if unknown."""
        services = None if self.deployment is None else self.deployment.services
        return (
            {}
            if not services or service not in services
            else services[service].model_costs
        )

    def cold_per_s(self, endpoint: tuple[str, int]) -> float | None:
        """Return how many requests per second a cold endpoint bears.

        Parameters
        ----------
        endpoint : tuple
            Name and start of the endpoint.

        Returns
        -------
        float or None
            None if it is warm or unknown, or if its service states no bound.
        """
        if self.cold.until(endpoint) <= self._clock.now():
            return None
        member = self.members.get(endpoint[0])
        if member is None or self.deployment is None:
            return None
        service = self.deployment.services.get(member.service)
        return None if service is None else service.cold_per_s or None

    def is_cold(self, member: Member) -> bool:
        """Return whether an endpoint is cold, so that its times say little of it."""
        return self.cold.until(member.incarnation) > self._clock.now()

    def memory_tokens(self, service: str) -> float:
        """Return the memory of a service's engines in tokens, infinite if unknown."""
        services = {} if self.deployment is None else self.deployment.services
        return services[service].memory_tokens if service in services else math.inf

    def departed_since(self, service: str, since: float) -> Iterator[Member]:
        """Yield the endpoints of a service that left after `since`.

        Endpoints of evacuated data centres are left out.
        """
        for departure in self.departed.values():
            member = departure.member
            usable = member.data_centre not in self.evacuated
            if usable and departure.at > since and member.service == service:
                yield member

    def stored_rollout(self, service: str) -> StoredObject:
        """Return a roll-out's stored object as last seen.

        Raises
        ------
        NotFoundError
        """
        stored = self.tables[Kind.ROLLOUT].items.get(service)
        if stored is None:
            raise NotFoundError(f"no roll-out of {service}")
        return _extract_status(stored)

    def _derive(self, kind: Kind, source: str) -> None:
        if kind is Kind.DEPLOYMENT:
            self._derive_deployment(source)
        elif kind is Kind.ENDPOINT:
            self._derive_members(source)
        elif kind is Kind.ROLLOUT:
            self._derive_rollouts(source)
        elif kind is Kind.EVACUATION:
            self._derive_evacuations(source)
        else:
            self._derive_blocked_parts()

    def _derive_deployment(self, source: str) -> None:
        for item in self.tables[Kind.DEPLOYMENT].items.values():
            try:
                deployment = self._decoder.deployment(item)
            except UnreadableObjectError as exc:
                logger.warning("unreadable configuration ignored: {}", exc.message)
                continue
            if deployment.version <= self.version:
                continue
            logger.info(
                "configuration in force",
                extra={
                    "version": deployment.version,
                    "before": self.version,
                    "source": source,
                    "routes": len(deployment.routes),
                    "staleness_s": self.freshness.staleness_s(self._clock.now()),
                },
            )
            self.deployment = deployment
            self.routes = RouteTable(deployment.routes)

    def _derive_members(self, source: str) -> None:
        now = self._clock.now()
        before = self.members
        self.members = {}
        listed = list(self._listed_members())
        for member in listed:
            stated_at = self._stated_departures.since(member.incarnation)
            if self._left_before_restore(member, now):
                continue
            if member.state is EndpointState.LEAVING or stated_at is not None:
                at = now if stated_at is None else stated_at
                self._record_departure(member, at, "leaving", source)
            else:
                self.members[member.name] = member
                self.departed.pop(member.name, None)
        for name, member in before.items():
            if name not in self.members and name not in self.departed:
                self._record_departure(member, now, "gone", source)
        for name, member in self.members.items():
            previous = before.get(name)
            if previous is None or previous.incarnation != member.incarnation:
                logger.info("endpoint listed", extra=_log_fields(member, source))
        names = {member.name for member in listed}
        for name, departure in list(self.departed.items()):
            stated_at = self._stated_departures.since(departure.member.incarnation)
            if stated_at is not None:
                # An endpoint that has only lapsed may be used for a while.
                self._record_departure(departure.member, stated_at, "leaving", source)
            if now - departure.at > DEPARTED_RETENTION_S and name not in names:
                del self.departed[name]

    def _left_before_restore(self, member: Member, now: float) -> bool:
        """Return whether a restored store lists an endpoint that had left."""
        departure = self.departed.get(member.name)
        return (
            departure is not None
            and departure.member.incarnation == member.incarnation
            and self.restores.departed_before(departure.at, departure.announced, now)
        )

    def _listed_members(self) -> Iterable[Member]:
        items = self.tables[Kind.ENDPOINT].items
        for name in [name for name in self._decoded if name not in items]:
            del self._decoded[name]
        for name, item in items.items():
            decoded = self._decoded.get(name)
            if decoded is None or decoded[0] != item.revision:
                decoded = (item.revision, self._member(item))
                self._decoded[name] = decoded
                self._record_cold(decoded[1])
            if decoded[1] is not None:
                yield decoded[1]

    def _record_cold(self, member: Member | None) -> None:
        if member is not None:
            self.cold.record_registration(
                member.incarnation, member.cold_left_s, self._clock.now()
            )

    def _member(self, item: StoredObject) -> Member | None:
        try:
            return self._decoder.member(item)
        except UnreadableObjectError as exc:
            logger.warning("unreadable endpoint object ignored: {}", exc.message)
            return None

    def _record_departure(
        self, member: Member, at: float, reason: str, source: str
    ) -> None:
        announced = reason == "leaving"
        known = self.departed.get(member.name)
        if known is not None and known.member.incarnation == member.incarnation:
            if known.announced or not announced:
                return
            at = min(at, known.at)
        self.departed[member.name] = Departure(member, at, announced)
        logger.info(
            "endpoint removed from rotation",
            extra={
                "how": reason,
                "staleness_s": self.freshness.staleness_s(self._clock.now()),
            }
            | _log_fields(member, source),
        )

    def _derive_rollouts(self, source: str) -> None:
        before = self.rollouts
        self.rollouts = {}
        for item in self.tables[Kind.ROLLOUT].items.values():
            try:
                rollout = self._decoder.rollout(_extract_status(item))
            except UnreadableObjectError as exc:
                # The new version must not get more than its share meanwhile.
                logger.warning("unreadable roll-out object ignored: {}", exc.message)
                if item.name in before:
                    self.rollouts[item.name] = before[item.name]
                continue
            self.rollouts[rollout.service] = rollout
            previous = before.get(rollout.service)
            if previous is None or (previous.target, previous.state) != (
                rollout.target,
                rollout.state,
            ):
                logger.info(
                    "roll-out is {}",
                    rollout.state,
                    extra={
                        "service": rollout.service,
                        "target": rollout.target,
                        "revision": rollout.revision,
                        "source": source,
                    },
                )
        self._hold_rollouts(before)

    def _hold_rollouts(self, before: Mapping[str, Rollout]) -> None:
        """Keep orders and final states that a restored store has lost."""
        for service in self._held_names(before, self.rollouts):
            logger.warning("roll-out of {} is missing in the restored store", service)
            self.rollouts[service] = before[service]
        lost_before, self.lost_statuses = self.lost_statuses, {}
        for service, rollout in self.rollouts.items():
            known = before.get(service)
            if known is None or known.target != rollout.target:
                continue
            copied = era_of(known.revision) < era_of(rollout.revision)
            lost = known.state.ended and not rollout.state.ended
            if lost and (copied or service in lost_before):
                self.rollouts[service] = replace(rollout, state=known.state)
                self.lost_statuses[service] = known.state

    def _held_names(self, before: Iterable[str], after: Container[str]) -> list[str]:
        return self.restores.held_names(before, after, self._clock.now())

    def _derive_evacuations(self, source: str) -> None:
        """Apply the orders to empty data centres; each order is named by one.

        The endpoints of a data centre that is taken back may have become cold meanwhile
        without a word in their registrations yet.
        """
        before = self.evacuated
        orders = self.tables[Kind.EVACUATION].items
        self.evacuated = frozenset([*orders, *self._held_names(before, orders)])
        known = {member.data_centre for member in self.members.values()}
        for data_centre in sorted(self.evacuated - before):
            logger.warning(
                "data centre {} is evacuated",
                data_centre,
                extra={"source": source, "endpoints_there": data_centre in known},
            )
        if known and known <= self.evacuated and self.evacuated != before:
            logger.error("all data centres are evacuated; no request can be served")
        for data_centre in sorted(before - self.evacuated):
            logger.warning(
                "data centre {} is in use again", data_centre, extra={"source": source}
            )
            self._assume_cold(data_centre)

    def _assume_cold(self, data_centre: str) -> None:
        services = {} if self.deployment is None else self.deployment.services
        for service in services.values():
            endpoints = [
                member.incarnation
                for member in self.members.values()
                if (member.service, member.data_centre) == (service.name, data_centre)
            ]
            self.cold.assume(endpoints, service.cold_start_s, self._clock.now())

    def _derive_blocked_parts(self) -> None:
        before = self.blocked_parts
        self.blocked_parts = {}
        for name, item in self.tables[Kind.BLOCKED_PART].items.items():
            blocked_at = item.spec.get("blocked_at")
            if not isinstance(blocked_at, int | float) or not math.isfinite(blocked_at):
                blocked_at = before.get(name)
            if blocked_at is None:
                logger.warning("blocked part {} does not say since when", name)
                blocked_at = self._clock.now()
            self.blocked_parts[name] = float(blocked_at)
        lost = self._held_names(before, self.blocked_parts)
        self.lost_parts = {name: before[name] for name in lost}
        self.blocked_parts |= self.lost_parts


def _log_fields(member: Member, source: str) -> dict[str, str]:
    return {
        "endpoint": member.name,
        "service": member.service,
        "version": member.version,
        "source": source,
    }


def _embed_status(item: StoredObject) -> StoredObject:
    """Move a roll-out's status into its spec, as tables carry only specs."""
    if item.kind is not Kind.ROLLOUT:
        return item
    spec = {"spec": item.spec, "status": item.status}
    return StoredObject(item.kind, item.name, spec, {}, item.revision)


def _extract_status(item: StoredObject) -> StoredObject:
    """Undo `_embed_status`."""
    return StoredObject(
        item.kind,
        item.name,
        item.spec.get("spec") or {},
        item.spec.get("status") or {},
        item.revision,
    )
