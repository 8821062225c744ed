"""What one shard of claims holds, and the changes that may be made to it.

A shard is one object at the platform, its head, and sealed segments. The head
holds claims that are running or were taken lately; when it grows, claims that have
come to an end move into a segment, an object of its own that is never changed. The
head lists its segments, so an update over the head's revision fences them as well.
"""

import asyncio
import base64
import enum
import hashlib
from dataclasses import dataclass, field

import msgspec

from radishshift.engines import ServiceReply
from radishshift.objects import Kind, StoredObject

__all__ = [
    "AcquireOp",
    "ClaimRecord",
    "ClaimShard",
    "ClaimState",
    "FinishOp",
    "ReleaseOp",
    "Result",
    "Segment",
    "ShardOp",
]

RESULT_BYTES_MAX = 2_048


class ClaimState(enum.StrEnum):
    """What is known of a claimed call."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Result(msgspec.Struct, frozen=True, omit_defaults=True, rename="camel"):
    """Answer of a claimed call; a long body is kept as its digest alone."""

    status: int
    content_type: str
    sha256: str
    body: str | None = None

    @classmethod
    def of(cls, reply: ServiceReply) -> "Result":
        """Return the result that is kept of a reply."""
        sha256 = hashlib.sha256(reply.body).hexdigest()
        body = None
        if len(reply.body) <= RESULT_BYTES_MAX:
            body = base64.b64encode(reply.body).decode()
        return cls(reply.status, reply.content_type, sha256, body)

    def reply(self) -> ServiceReply | None:
        """Return the reply, or None if its body was too long to keep."""
        if self.body is None:
            return None
        body = base64.b64decode(self.body)
        return ServiceReply(self.status, self.content_type, body)


class ClaimRecord(msgspec.Struct, frozen=True, omit_defaults=True, rename="camel"):
    """A claim as the platform holds it.

    Attributes
    ----------
    fingerprint : str
        Of the call; another call under the same key is refused.
    token : str
        Of the one try that may run the call.
    deadline : float
        Instant after which the call is not started.
    expires : float
        Instant after which the claim is forgotten.
    """

    fingerprint: str
    token: str
    deadline: float
    expires: float
    state: ClaimState = ClaimState.RUNNING
    result: Result | None = None

    def over(self, now: float) -> bool:
        """Tell whether nothing more will come of the claim."""
        return self.state is not ClaimState.RUNNING or self.deadline <= now


class Segment(msgspec.Struct, frozen=True):
    """A sealed segment as the head lists it; `expires` is that of its last claim."""

    name: str
    expires: float


class _HeadSpec(msgspec.Struct):
    claims: dict[str, ClaimRecord] = {}
    segments: list[Segment] = []


class _SegmentSpec(msgspec.Struct):
    claims: dict[str, ClaimRecord]
    expires: float


@dataclass(slots=True)
class ClaimShard:
    """A shard as it was read, with changes that are not yet written.

    Attributes
    ----------
    name : str
    revision : int
        Of the head; 0 if there is none yet.
    claims : dict of str to ClaimRecord
        Of the head, by key.
    segments : list of Segment
    sealed : dict of str to dict
        Claims of each segment, by the segment's name.
    """

    name: str
    revision: int = 0
    claims: dict[str, ClaimRecord] = field(default_factory=dict)
    segments: list[Segment] = field(default_factory=list)
    sealed: dict[str, dict[str, ClaimRecord]] = field(default_factory=dict)

    @classmethod
    def from_head(cls, item: StoredObject) -> "ClaimShard":
        """Return the shard of a stored head; its segments are not loaded."""
        spec = msgspec.convert(item.spec, _HeadSpec)
        return cls(item.name, item.revision, spec.claims, spec.segments)

    def head(self) -> StoredObject:
        """Return the head as it is to be stored."""
        spec = msgspec.to_builtins(_HeadSpec(self.claims, self.segments))
        return StoredObject(Kind.CLAIM_SHARD, self.name, spec, {}, self.revision)

    def copy(self) -> "ClaimShard":
        """Return a copy that can be changed."""
        return ClaimShard(
            self.name,
            self.revision,
            dict(self.claims),
            list(self.segments),
            dict(self.sealed),
        )

    def find(self, key: str, now: float) -> ClaimRecord | None:
        """Return the claim of a key unless it is forgotten."""
        record = self.claims.get(key)
        for claims in self.sealed.values():
            record = record or claims.get(key)
        if record is None or record.expires <= now:
            return None
        return record

    def take_segment(self, item: StoredObject) -> None:
        """Add the claims of a segment that was loaded."""
        self.sealed[item.name] = msgspec.convert(item.spec, _SegmentSpec).claims

    def seal(self, name: str, now: float) -> StoredObject | None:
        """Move the claims that are over into a new segment and return it."""
        over = {key: record for key, record in self.claims.items() if record.over(now)}
        if not over:
            return None
        expires = max(record.expires for record in over.values())
        for key in over:
            del self.claims[key]
        self.segments.append(Segment(name, expires))
        self.sealed[name] = over
        spec = msgspec.to_builtins(_SegmentSpec(over, expires))
        return StoredObject(Kind.CLAIM_SHARD, name, spec)

    def drop_expired(self, now: float) -> list[str]:
        """Forget what has expired and return the names of dropped segments."""
        for key, record in list(self.claims.items()):
            if record.expires <= now:
                del self.claims[key]
        dropped = [part.name for part in self.segments if part.expires <= now]
        self.segments = [part for part in self.segments if part.expires > now]
        for name in dropped:
            self.sealed.pop(name, None)
        return dropped


@dataclass(slots=True, eq=False)
class ShardOp:
    """A change to a shard; to apply it twice is the same as once.

    Attributes
    ----------
    key : str
    record : ClaimRecord
        Of the try that makes the change.
    done : asyncio.Future
        Resolves to what the shard then holds for the key.
    lost_reply : bool
        A write of this change was sent and no reply to it came.
    """

    key: str
    record: ClaimRecord
    done: asyncio.Future[ClaimRecord | None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    lost_reply: bool = False

    def apply(self, shard: ClaimShard, now: float) -> bool:
        """Change the shard; tell whether anything is to be written."""
        raise NotImplementedError

    def doubtful(self, shard: ClaimShard, now: float) -> bool:
        """Tell whether a shard held from before must be read anew first."""
        return False

    def _ours(self, shard: ClaimShard) -> bool:
        held = shard.claims.get(self.key)
        return (
            held is not None
            and held.token == self.record.token
            and held.state is ClaimState.RUNNING
        )


class AcquireOp(ShardOp):
    """Takes a claim unless there is one."""

    def apply(self, shard: ClaimShard, now: float) -> bool:
        """Put the claim if the key is free."""
        if shard.find(self.key, now) is not None:
            return False
        shard.claims[self.key] = self.record
        return True

    def doubtful(self, shard: ClaimShard, now: float) -> bool:
        """Tell whether another's claim may have come to an end meanwhile."""
        held = shard.find(self.key, now)
        return (
            held is not None
            and held.token != self.record.token
            and held.state is ClaimState.RUNNING
        )


class FinishOp(ShardOp):
    """Records what came of a claimed call; the first record stays."""

    def apply(self, shard: ClaimShard, now: float) -> bool:
        """Put the record if the claim is ours and running."""
        if not self._ours(shard):
            return False
        shard.claims[self.key] = self.record
        return True


@dataclass(slots=True, eq=False)
class ReleaseOp(ShardOp):
    """Gives up a claim whose call has certainly not run.

    Attributes
    ----------
    fence : bool
        Write in any case, so that a write of the claim that is still on its way
        meets a newer revision and fails.
    """

    fence: bool = False

    def apply(self, shard: ClaimShard, now: float) -> bool:
        """Drop the claim if it is ours and running."""
        if self._ours(shard):
            del shard.claims[self.key]
            return True
        return self.fence
