"""Group commit of changes to one shard of claims."""

import asyncio
import random

import logbook

from radishshift.claim_shards import AcquireOp, ClaimRecord, ClaimShard, ShardOp
from radishshift.clocks import Clock
from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    InternalError,
    NotFoundError,
    OverloadedError,
    PlatformUnavailableError,
    RadishshiftError,
)
from radishshift.objects import Kind
from radishshift.platform import Platform
from radishshift.verdicts import Verdict

__all__ = ["ShardWriter"]

HEAD_SEAL_THRESHOLD_CLAIMS = 128
HEAD_CLAIMS_MAX = 3_000
COMMIT_CHANGES_MAX = 100
COMMIT_ATTEMPTS_MAX = 12
CONFLICT_BACKOFF_S_MAX = 0.01
RETRY_INTERVAL_S = 1.0
PLATFORM_RETRY_AFTER_S = 2.0

logger = logbook.Logger("claims")


class ShardWriter:
    """Batches changes to one shard into conditional updates.

    Changes submitted while a write is in flight, or within `write_interval_s` of
    the start of the last write, share the next one. The shard is cached between
    writes, so a host that is its only writer reads it once. If another host wrote
    in the meantime, the update fails with a conflict; the writer then reads the
    shard again and reapplies its changes. A write that got no reply is handled in
    the same way: changes that took effect are found in the shard.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    name : str
        Name of the shard.
    token_prefix : str
        Unique to this process; part of the names of the segments that it seals.
    write_interval_s : float
        Least time between the starts of two writes, in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        name: str,
        token_prefix: str,
        write_interval_s: float,
    ) -> None:
        self.writes = 0
        self._platform = platform
        self._clock = clock
        self._name = name
        self._token_prefix = token_prefix
        self._write_interval_s = write_interval_s
        self._random = random.Random(f"{token_prefix}{name}")
        self._shard: ClaimShard | None = None
        self._stale = True
        self._acquires: list[ShardOp] = []
        self._completions: list[ShardOp] = []
        self._next_write_at = 0.0
        self._retry_at = 0.0
        self._submitted = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def backlog(self) -> int:
        """Return the number of outcomes and releases that are not yet written."""
        return len(self._completions)

    def submit(self, op: ShardOp) -> asyncio.Future[ClaimRecord | None]:
        """Queue a change; the future resolves to the record that the shard then has.

        If the shard can't be written, the acquisition of a claim fails at once; an
        outcome or a release is retried until the claim expires.
        """
        if isinstance(op, AcquireOp):
            self._acquires.append(op)
        else:
            self._completions.append(op)
        self._submitted.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return op.done

    async def close(self) -> None:
        """Stop and abandon changes that are not yet written."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while self._acquires or self._completions:
            await self._wait_until_due()
            completions = self._unexpired_completions()[:COMMIT_CHANGES_MAX]
            acquires = self._next_acquires(COMMIT_CHANGES_MAX - len(completions))
            self._next_write_at = self._clock.now() + self._write_interval_s
            try:
                shard = await self._commit([*completions, *acquires])
            except Exception as exc:
                self._fail(acquires, completions, _as_router_error(exc))
                self._retry_at = self._clock.now() + RETRY_INTERVAL_S
                continue
            self._completions = [
                op for op in self._completions if op not in completions
            ]
            self._resolve([*completions, *acquires], shard)

    async def _wait_until_due(self) -> None:
        if not self._acquires:
            await self._wait_for_acquire(self._retry_at)
        if self._clock.now() < self._next_write_at:
            await self._clock.sleep_until(self._next_write_at)

    async def _wait_for_acquire(self, deadline: float) -> None:
        while not self._acquires and self._clock.now() < deadline:
            self._submitted.clear()
            timer = asyncio.ensure_future(self._clock.sleep_until(deadline))
            submitted = asyncio.ensure_future(self._submitted.wait())
            try:
                await asyncio.wait(
                    {timer, submitted}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                timer.cancel()
                submitted.cancel()

    def _next_acquires(self, limit: int) -> list[ShardOp]:
        pending = [op for op in self._acquires if not op.done.done()]
        self._acquires = pending[limit:]
        return pending[:limit]

    def _unexpired_completions(self) -> list[ShardOp]:
        now = self._clock.now()
        expired = [op for op in self._completions if op.record.expires <= now]
        for op in expired:
            logger.error(
                "the outcome of a claim was not written before the claim expired"
            )
            op.done.cancel()
        self._completions = [op for op in self._completions if not op.done.cancelled()]
        return list(self._completions)

    def _resolve(self, ops: list[ShardOp], shard: ClaimShard) -> None:
        now = self._clock.now()
        for op in ops:
            if not op.done.done():
                op.done.set_result(shard.find(op.key, now))

    def _fail(
        self, acquires: list[ShardOp], completions: list[ShardOp], exc: RadishshiftError
    ) -> None:
        logger.warning("could not write claim shard {}: {}", self._name, exc.message)
        last_known = self._last_known_shard(completions)
        now = self._clock.now()
        for op in acquires:
            if op.done.done():
                continue
            stored = last_known.find(op.key, now)
            if stored is not None and stored.token != op.record.token:
                op.done.set_result(stored)
            else:
                op.done.set_exception(exc)

    def _last_known_shard(self, completions: list[ShardOp]) -> ClaimShard:
        if self._shard is None:
            return ClaimShard(self._name)
        shard = self._shard.copy()
        for op in completions:
            op.apply(shard, self._clock.now())
        return shard

    async def _commit(self, ops: list[ShardOp]) -> ClaimShard:
        for _ in range(COMMIT_ATTEMPTS_MAX):
            try:
                shard = await self._try_commit(ops)
            except (ConflictError, AlreadyExistsError, NotFoundError):
                await self._back_off()
            except PlatformUnavailableError as exc:
                self._stale = True
                if exc.verdict is Verdict.NOT_RUN:
                    raise
                for op in ops:
                    op.lost_reply = True
            else:
                if shard is not None:
                    return shard
        raise OverloadedError(
            "the claim shard could not be written after repeated attempts",
            retry_after_s=PLATFORM_RETRY_AFTER_S,
        )

    async def _try_commit(self, ops: list[ShardOp]) -> ClaimShard | None:
        fresh = self._stale
        if fresh:
            self._shard = await self._read()
            self._stale = False
        now = self._clock.now()
        ops = [op for op in ops if not op.done.cancelled()]
        shard = self._shard.copy()
        changes = [op.apply(shard, now) for op in ops]
        if not fresh and any(op.needs_fresh_read(shard, now) for op in ops):
            self._stale = True
            return None
        if any(changes):
            self._shard = await self._write(shard, now)
            return self._shard
        return shard

    async def _back_off(self) -> None:
        self._stale = True
        backoff_s = CONFLICT_BACKOFF_S_MAX * self._random.random()
        await self._clock.sleep_until(self._clock.now() + backoff_s)

    async def _read(self) -> ClaimShard:
        try:
            head = await self._platform.get(Kind.CLAIM_SHARD, self._name)
        except NotFoundError:
            return ClaimShard(self._name)
        shard = ClaimShard.from_head(head)
        loaded = {} if self._shard is None else self._shard.sealed
        for segment in shard.segments:
            if segment.name in loaded:
                shard.sealed[segment.name] = loaded[segment.name]
            elif segment.expires > self._clock.now():
                item = await self._platform.get(Kind.CLAIM_SHARD, segment.name)
                shard.add_segment(item)
        return shard

    async def _write(self, shard: ClaimShard, now: float) -> ClaimShard:
        dropped = shard.drop_expired(now)
        await self._seal(shard, now)
        self.writes += 1
        head = shard.head()
        if shard.revision:
            stored = await self._platform.update(head)
        else:
            stored = await self._platform.create(head)
        shard.revision = stored.revision
        for name in dropped:
            await self._delete_segment(name)
        return shard

    async def _seal(self, shard: ClaimShard, now: float) -> None:
        if len(shard.claims) <= HEAD_SEAL_THRESHOLD_CLAIMS:
            return
        name = f"{self._name}.{self._token_prefix}.{self.writes}"
        segment = shard.seal(name, now)
        if segment is not None:
            self.writes += 1
            await self._platform.create(segment)
        elif len(shard.claims) > HEAD_CLAIMS_MAX:
            raise OverloadedError(
                "the claim shard is full", retry_after_s=PLATFORM_RETRY_AFTER_S
            )

    async def _delete_segment(self, name: str) -> None:
        try:
            stored = await self._platform.get(Kind.CLAIM_SHARD, name)
            await self._platform.delete(Kind.CLAIM_SHARD, name, stored.revision)
        except RadishshiftError as exc:
            logger.warning(
                "could not delete expired claim segment {}: {}", name, exc.message
            )


def _as_router_error(exc: Exception) -> RadishshiftError:
    if isinstance(exc, RadishshiftError):
        return exc
    logger.exception("unexpected error while reading or writing a claim shard")
    return InternalError("claims can't be stored", verdict=Verdict.NOT_RUN)
