"""Objects of the platform's API.

An object is addressed by kind and name. The platform has one revision counter: each
write increments it and stamps the object with it. An update is accepted only if the
object still has the revision that the writer has read (optimistic concurrency).

A platform that is restored from an older copy gives revisions out again. It counts its
restores, and what it says then is of a later era. If it states its era, `ERA_REVISIONS`
are added to a revision for each, so that revisions compare across restores; the adapter
translates them.
"""

import enum
from dataclasses import dataclass, field
from typing import Any

__all__ = [
    "ERA_REVISIONS",
    "ChangeType",
    "Kind",
    "Listing",
    "ObjectChange",
    "StoredObject",
    "bookmark",
    "era_of",
    "in_era",
    "within_era",
]

ERA_REVISIONS = 1 << 40


class Kind(enum.StrEnum):
    """Kinds of object; the value is the plural used in the platform's URL paths."""

    ENTRY = "catalogueentries"
    ENDPOINT = "endpoints"
    HOST = "hosts"
    LEASE = "leases"
    CLAIM_SHARD = "claimshards"
    BILL_BATCH = "billbatches"
    SESSION_KEY = "sessionkeys"
    SHARE = "shares"
    POISON = "poisonrequests"
    BLOCKED_PART = "blockedparts"
    CONFIRMATION = "confirmations"
    DEPLOYMENT = "deployments"
    ROLLOUT = "rollouts"
    EVACUATION = "evacuations"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object at one revision.

    Attributes
    ----------
    kind : Kind
    name : str
    spec : dict
        Desired state set by the writer, as JSON values.
    status : dict
        Observed state, as JSON values.
    revision : int
        Revision of the last write; 0 for an object not yet written.
    writer : str
        Last writer; shown to an operator whose update conflicted.
    """

    kind: Kind
    name: str
    spec: dict[str, Any] = field(default_factory=dict)
    status: dict[str, Any] = field(default_factory=dict)
    revision: int = 0
    writer: str = ""


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, as of one revision of the platform."""

    items: tuple[StoredObject, ...]
    revision: int


class ChangeType(enum.StrEnum):
    """Type of a watch event."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """One event of a watch.

    For `DELETED` the object carries the revision of the deletion; for `BOOKMARK`
    only the revision is meaningful.
    """

    type: ChangeType
    item: StoredObject


def bookmark(kind: Kind, revision: int) -> ObjectChange:
    """Return the event that all changes of a kind up to a revision were delivered."""
    return ObjectChange(ChangeType.BOOKMARK, StoredObject(kind, "", revision=revision))


def in_era(era: int, revision: int) -> int:
    """Return a revision that the platform gave out in an era."""
    return era * ERA_REVISIONS + revision


def era_of(revision: int) -> int:
    """Return the era of a revision, 0 if the platform states none."""
    return revision // ERA_REVISIONS


def within_era(revision: int) -> int:
    """Return a revision as the platform states it."""
    return revision % ERA_REVISIONS
