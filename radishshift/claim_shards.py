"""Storage format of a shard of claims, and the changes that may be made to it.

A shard consists of one head object at the platform and of sealed segments. The head
holds running and recent claims; when it grows, claims that are final move into a
new segment, an object that is never changed afterwards. The head lists its segments,
so a conditional update on the head's revision fences the segments as well.
"""

import asyncio
import base64
import enum
import hashlib
from dataclasses import dataclass, field

import msgspec

from radishshift.engines import ServiceReply
from radishshift.errors import ResultLostError
from radishshift.objects import Kind, StoredObject
from radishshift.verdicts import Verdict

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
    """What is known about a claimed call."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Result(msgspec.Struct, frozen=True, omit_defaults=True, rename="camel"):
    """Answer of a claimed call; of a long body only the digest is stored."""

    status: int
    content_type: str
    sha256: str
    body: str | None = None

    @classmethod
    def of(cls, reply: ServiceReply) -> "Result":
        """Return the result to store for a reply."""
        sha256 = hashlib.sha256(reply.body).hexdigest()
        body = None
        if len(reply.body) <= RESULT_BYTES_MAX:
            body = base64.b64encode(reply.body).decode()
        return cls(reply.status, reply.content_type, sha256, body)

    def reply(self) -> ServiceReply | None:
        """Return the reply, or None if its body was too long to store.

        Raises
        ------
        ResultLostError
            The stored body can't be read.
        """
        if self.body is None:
            return None
        try:
            body = base64.b64decode(self.body, validate=True)
        except ValueError as exc:
            raise ResultLostError(
                f"the call has run with status {self.status}; its stored answer can't "
                f"be read: {exc}",
                verdict=Verdict.RAN,
            ) from exc
        return ServiceReply(self.status, self.content_type, body)


class ClaimRecord(msgspec.Struct, frozen=True, omit_defaults=True, rename="camel"):
    """A claim as it is stored at the platform.

    Attributes
    ----------
    fingerprint : str
        Hash of the call; a different call under the same key is refused.
    token : str
        Identifies the one attempt that may run the call.
    deadline : float
        Instant after which the call is not started.
    expires : float
        Instant after which the claim is treated as absent.
    """

    fingerprint: str
    token: str
    deadline: float
    expires: float
    state: ClaimState = ClaimState.RUNNING
    result: Result | None = None

    def is_final(self, now: float) -> bool:
        """Tell whether the claim has an outcome or its deadline has passed."""
        return self.state is not ClaimState.RUNNING or self.deadline <= now


class Segment(msgspec.Struct, frozen=True):
    """Entry of a sealed segment in the head.

    `expires` is the instant at which the last of its claims expires.
    """

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
    """A shard as it was read, with changes that are not written yet.

    Attributes
    ----------
    name : str
    revision : int
        Of the head; 0 if no head is stored yet.
    claims : dict of str to ClaimRecord
        Claims in the head, by key.
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
        """Return the shard of a stored head, without loading its segments."""
        spec = msgspec.convert(item.spec, _HeadSpec)
        return cls(item.name, item.revision, spec.claims, spec.segments)

    def head(self) -> StoredObject:
        """Return the head object to store."""
        spec = msgspec.to_builtins(_HeadSpec(self.claims, self.segments))
        return StoredObject(Kind.CLAIM_SHARD, self.name, spec, {}, self.revision)

    def copy(self) -> "ClaimShard":
        """Return a copy that can be changed independently."""
        return ClaimShard(
            self.name,
            self.revision,
            dict(self.claims),
            list(self.segments),
            dict(self.sealed),
        )

    def find(self, key: str, now: float) -> ClaimRecord | None:
        """Return the claim of a key, or None if there is none or it has expired.

        An expired claim of the same key may still be in an older segment.
        """
        for claims in (self.claims, *self.sealed.values()):
            record = claims.get(key)
            if record is not None and record.expires > now:
                return record
        return None

    def add_segment(self, item: StoredObject) -> None:
        """Add the claims of a loaded segment."""
        self.sealed[item.name] = msgspec.convert(item.spec, _SegmentSpec).claims

    def seal(self, name: str, now: float) -> StoredObject | None:
        """Move the final claims into a new segment; return it, if there are any."""
        final = {
            key: record for key, record in self.claims.items() if record.is_final(now)
        }
        if not final:
            return None
        expires = max(record.expires for record in final.values())
        for key in final:
            del self.claims[key]
        self.segments.append(Segment(name, expires))
        self.sealed[name] = final
        spec = msgspec.to_builtins(_SegmentSpec(final, expires))
        return StoredObject(Kind.CLAIM_SHARD, name, spec)

    def drop_expired(self, now: float) -> list[str]:
        """Remove expired claims and segments; return the names of those segments."""
        for key, record in list(self.claims.items()):
            if record.expires <= now:
                del self.claims[key]
        dropped = [segment.name for segment in self.segments if segment.expires <= now]
        self.segments = [segment for segment in self.segments if segment.expires > now]
        for name in dropped:
            self.sealed.pop(name, None)
        return dropped


@dataclass(slots=True, eq=False)
class ShardOp:
    """A change to a shard; applying it is idempotent.

    Attributes
    ----------
    key : str
    record : ClaimRecord
        Record of the attempt that makes the change.
    done : asyncio.Future
        Resolves to the record that the shard then has for the key, if any.
    lost_reply : bool
        A call to the platform for this change failed and may have run, so the change
        may have been written. This is also set if the call was a read.
    """

    key: str
    record: ClaimRecord
    done: asyncio.Future[ClaimRecord | None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    lost_reply: bool = False

    def apply(self, shard: ClaimShard, now: float) -> bool:
        """Apply the change to the shard; tell whether a write is needed."""
        raise NotImplementedError

    def needs_fresh_read(self, shard: ClaimShard, now: float) -> bool:
        """Tell whether a cached shard must be read again.

        If so, the result must not be returned before that.
        """
        return False

    def _is_own_running_claim(self, shard: ClaimShard) -> bool:
        stored = shard.claims.get(self.key)
        return (
            stored is not None
            and stored.token == self.record.token
            and stored.state is ClaimState.RUNNING
        )


class AcquireOp(ShardOp):
    """Acquires a claim unless the key has one."""

    def apply(self, shard: ClaimShard, now: float) -> bool:
        """Add the claim if the key has none."""
        if shard.find(self.key, now) is not None:
            return False
        shard.claims[self.key] = self.record
        return True

    def needs_fresh_read(self, shard: ClaimShard, now: float) -> bool:
        """Tell whether the cached claim of another attempt is running.

        Another host may have recorded its outcome since the shard was read.
        """
        stored = shard.find(self.key, now)
        return (
            stored is not None
            and stored.token != self.record.token
            and stored.state is ClaimState.RUNNING
        )


class FinishOp(ShardOp):
    """Records the outcome of a claimed call; only the first one is stored."""

    def apply(self, shard: ClaimShard, now: float) -> bool:
        """Store the outcome if this attempt's claim is running."""
        if not self._is_own_running_claim(shard):
            return False
        shard.claims[self.key] = self.record
        return True


@dataclass(slots=True, eq=False)
class ReleaseOp(ShardOp):
    """Deletes a claim whose call has certainly not run.

    Attributes
    ----------
    fence : bool
        Write even if there is nothing to delete: this increments the revision, so
        that a write of the claim that is still in flight fails with a conflict.
    """

    fence: bool = False

    def apply(self, shard: ClaimShard, now: float) -> bool:
        """Delete this attempt's claim if it is running."""
        if self._is_own_running_claim(shard):
            del shard.claims[self.key]
            return True
        return self.fence
