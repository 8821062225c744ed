"""Objects as the platform's API holds them.

An object is addressed by kind and name. The platform raises its one revision with
each write, stamps the object with it, and takes an update only over the revision
that the writer has read.
"""

import enum
from dataclasses import dataclass, field
from typing import Any

__all__ = ["ChangeType", "Kind", "Listing", "ObjectChange", "StoredObject"]


class Kind(enum.StrEnum):
    """Kinds of object, by the plural that the platform's paths use."""

    ENTRY = "catalogueentries"
    ENDPOINT = "endpoints"
    HOST = "hosts"
    LEASE = "leases"
    CLAIM_SHARD = "claimshards"
    BILL_BATCH = "billbatches"
    SESSION_KEY = "sessionkeys"
    SHARE = "shares"
    POISON = "poisonrequests"
    CONFIRMATION = "confirmations"
    DEPLOYMENT = "deployments"
    ROLLOUT = "rollouts"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object at one revision.

    Attributes
    ----------
    kind : Kind
    name : str
    spec : dict
        What the writer wants, as JSON values.
    status : dict
        What the system has found, as JSON values.
    revision : int
        Revision of the platform at the last write; 0 for one not yet written.
    writer : str
        Who wrote it last; shown to an operator who lost a race.
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
    """What a watch tells of an object."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """One event of a watch.

    For `DELETED` the object holds the revision of the deletion; for `BOOKMARK`
    only its revision has a meaning.
    """

    type: ChangeType
    item: StoredObject
