"""What a host believes of the configuration, the endpoints and the roll-outs.

Each belief comes from the platform's store or from a peer and is joined by revision,
so that none goes back, whichever source tells of it first.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.routes import RouteTable
from radishshift.endpoints import EndpointState
from radishshift.errors import NotFoundError, UnreadableObjectError
from radishshift.gateway.deployment import Deployment, Member, Rollout
from radishshift.gateway.documents import Documents
from radishshift.gateway.host_settings import Bounds
from radishshift.object_table import Head, ObjectTable, TableDelta
from radishshift.objects import ChangeType, Kind, Listing, ObjectChange, StoredObject

__all__ = ["KINDS", "Departure", "HostView"]

KINDS = (Kind.DEPLOYMENT, Kind.ENDPOINT, Kind.ROLLOUT)
DEPARTED_KEPT_S = 30.0  # far longer than an address takes to be used again
LAPSED_RETENTION_S = 2.5  # endpoints that are alive are listed again within 2 s
LAPSED_USED_SHARE = 0.85  # of the time after which one that leaves gets nothing

USUAL = Bounds()

logger = logbook.Logger("beliefs")


@dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint that is leaving or gone, and when this host learnt it.

    Attributes
    ----------
    announced : bool
        Whether it said that it was leaving, or else just went from the list.
    """

    member: Member
    at: float
    announced: bool = True


class HostView:
    """State of one host, derived from the tables of the platform's objects.

    Parameters
    ----------
    documents : Documents
    clock : Clock
    drain_s : float
        Time after which an endpoint that has left may get nothing.

    Attributes
    ----------
    deployment : Deployment or None
        The configuration in force here; its version never falls.
    routes : RouteTable
    members : dict of str to Member
        Endpoints that take new work, by name.
    departed : dict of str to Departure
        Those that do not any more.
    rollouts : dict of str to Rollout
        By service.
    """

    def __init__(
        self, documents: Documents, clock: Clock, drain_s: float = USUAL.drain_s
    ) -> None:
        self._drain_s = drain_s
        self._documents = documents
        self._clock = clock
        self.tables = {kind: ObjectTable(kind) for kind in KINDS}
        self.deployment: Deployment | None = None
        self.routes = RouteTable(())
        self.members: dict[str, Member] = {}
        self.departed: dict[str, Departure] = {}
        self.rollouts: dict[str, Rollout] = {}
        self._decoded: dict[str, tuple[int, Member | None]] = {}
        self._lapsed_until = 0.0

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return 0 if self.deployment is None else self.deployment.version

    def heads(self) -> dict[str, Head]:
        """Return short descriptions of all tables."""
        return {kind.value: table.head for kind, table in self.tables.items()}

    def apply(self, kind: Kind, told: Listing | ObjectChange) -> bool:
        """Take what the platform told; return whether anything changed."""
        table = self.tables[kind]
        if isinstance(told, Listing):
            items = tuple(map(_with_progress, told.items))
            changed = table.take_listing(Listing(items, told.revision))
        elif told.type is ChangeType.BOOKMARK:
            return False
        elif told.type is ChangeType.DELETED:
            changed = table.drop(told.item.name, told.item.revision)
        else:
            changed = table.take(_with_progress(told.item))
        if changed:
            self._derive(kind, "platform")
        return changed

    def merge(self, kind: Kind, delta: TableDelta, peer: str) -> bool:
        """Join what a peer holds; return whether anything changed."""
        changed = self.tables[kind].merge(delta)
        if changed:
            self._derive(kind, peer)
        return changed

    def record_store_regained(self, regained_at: float | None) -> None:
        """Note when the platform was last regained after a loss.

        What lapsed meanwhile is listed again soon if it is alive.
        """
        if regained_at is not None:
            self._lapsed_until = regained_at + LAPSED_RETENTION_S

    def members_of(self, service: str) -> Iterator[Member]:
        """Yield the endpoints of a service that take new work."""
        for member in self.members.values():
            if member.service == service:
                yield member
        if self._clock.now() >= self._lapsed_until:
            return
        since = max(
            self._lapsed_until - 2 * LAPSED_RETENTION_S,
            self._clock.now() - LAPSED_USED_SHARE * self._drain_s,
        )
        for departure in self.departed.values():
            lapsed = not departure.announced and departure.at > since
            if lapsed and departure.member.service == service:
                yield departure.member

    def model_costs(self, service: str) -> Mapping[str, float]:
        """Return the price of 1,000 generated tokens by model, empty if unknown."""
        held = None if self.deployment is None else self.deployment.services
        return {} if not held or service not in held else held[service].model_costs

    def departed_since(self, service: str, instant: float) -> Iterator[Member]:
        """Yield endpoints of a service that left after `instant`."""
        for departure in self.departed.values():
            if departure.at > instant and departure.member.service == service:
                yield departure.member

    def stored_rollout(self, service: str) -> StoredObject:
        """Return a roll-out's object as it was last seen.

        Raises
        ------
        NotFoundError
        """
        held = self.tables[Kind.ROLLOUT].items.get(service)
        if held is None:
            raise NotFoundError(f"no roll-out of {service}")
        return _without_progress(held)

    def _derive(self, kind: Kind, source: str) -> None:
        if kind is Kind.DEPLOYMENT:
            self._derive_deployment(source)
        elif kind is Kind.ENDPOINT:
            self._derive_members(source)
        else:
            self._derive_rollouts(source)

    def _derive_deployment(self, source: str) -> None:
        for item in self.tables[Kind.DEPLOYMENT].items.values():
            try:
                deployment = self._documents.deployment(item)
            except UnreadableObjectError as exc:
                logger.warning("configuration kept: {}", exc.message)
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
                },
            )
            self.deployment = deployment
            self.routes = RouteTable(deployment.routes)

    def _derive_members(self, source: str) -> None:
        now = self._clock.now()
        before = self.members
        self.members = {}
        for member in self._listed_members():
            if member.state is EndpointState.LEAVING:
                self._note_departed(member, now, "leaving", source)
            else:
                self.members[member.name] = member
                self.departed.pop(member.name, None)
        for name, member in before.items():
            if name not in self.members and name not in self.departed:
                self._note_departed(member, now, "gone", source)
        for name, member in self.members.items():
            held = before.get(name)
            if held is None or held.incarnation != member.incarnation:
                logger.info("endpoint listed", extra=_about(member, source))
        for name, departure in list(self.departed.items()):
            if now - departure.at > DEPARTED_KEPT_S:
                del self.departed[name]

    def _listed_members(self) -> Iterable[Member]:
        items = self.tables[Kind.ENDPOINT].items
        for name in [name for name in self._decoded if name not in items]:
            del self._decoded[name]
        for name, item in items.items():
            held = self._decoded.get(name)
            if held is None or held[0] != item.revision:
                held = (item.revision, self._member(item))
                self._decoded[name] = held
            if held[1] is not None:
                yield held[1]

    def _member(self, item: StoredObject) -> Member | None:
        try:
            return self._documents.member(item)
        except UnreadableObjectError as exc:
            logger.warning("endpoint ignored: {}", exc.message)
            return None

    def _note_departed(self, member: Member, now: float, how: str, source: str) -> None:
        held = self.departed.get(member.name)
        if held is not None and held.member.incarnation == member.incarnation:
            return
        self.departed[member.name] = Departure(member, now, how == "leaving")
        logger.info(
            "endpoint takes no more", extra={"how": how} | _about(member, source)
        )

    def _derive_rollouts(self, source: str) -> None:
        before = self.rollouts
        self.rollouts = {}
        for item in self.tables[Kind.ROLLOUT].items.values():
            try:
                rollout = self._documents.rollout(_without_progress(item))
            except UnreadableObjectError as exc:
                logger.warning("roll-out ignored: {}", exc.message)
                continue
            self.rollouts[rollout.service] = rollout
            held = before.get(rollout.service)
            if held is None or (held.target, held.state) != (
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


def _about(member: Member, source: str) -> dict[str, str]:
    return {
        "endpoint": member.name,
        "service": member.service,
        "version": member.version,
        "source": source,
    }


def _with_progress(item: StoredObject) -> StoredObject:
    """Put an object's status beside its spec, as tables carry only specs."""
    if item.kind is not Kind.ROLLOUT:
        return item
    spec = {"spec": item.spec, "status": item.status}
    return StoredObject(item.kind, item.name, spec, {}, item.revision)


def _without_progress(item: StoredObject) -> StoredObject:
    return StoredObject(
        item.kind,
        item.name,
        item.spec.get("spec") or {},
        item.spec.get("status") or {},
        item.revision,
    )
