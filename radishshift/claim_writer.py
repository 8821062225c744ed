"""Group commit of the changes to one shard of claims."""

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

HEAD_CLAIMS = 128
HEAD_CLAIMS_MAX = 3_000
COMMIT_CHANGES_MAX = 100
COMMIT_TRIES = 12
CONFLICT_PAUSE_S = 0.01
RETRY_S = 1.0
PLATFORM_RETRY_AFTER_S = 2.0

logger = logbook.Logger("claims")


class ShardWriter:
    """Writes changes to one shard, many in one conditional update.

    Changes that come while a write is on its way, or within `write_interval_s` of
    the last one's start, share the next. The shard is kept between writes: a host
    that alone writes a shard reads it once. Other hosts may write too; the
    revision then fails one of them, which reads the shard and applies its changes
    again. A write with no reply is settled the same way: a change that took
    effect is found to be there already.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    name : str
        Of the shard.
    token_prefix : str
        Unique to this process; names of segments are made from it.
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
        self._pace_s = write_interval_s
        self._random = random.Random(f"{token_prefix}{name}")
        self._shard: ClaimShard | None = None
        self._stale = True
        self._takes: list[ShardOp] = []
        self._endings: list[ShardOp] = []
        self._next_write = 0.0
        self._retry_at = 0.0
        self._came = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def backlog(self) -> int:
        """Return the number of records and releases that are not yet written."""
        return len(self._endings)

    def submit(self, op: ShardOp) -> asyncio.Future[ClaimRecord | None]:
        """Queue a change; the future tells what the shard then holds.

        A claim that can't be written fails at once. A record or a release is tried
        again until the claim expires.
        """
        if isinstance(op, AcquireOp):
            self._takes.append(op)
        else:
            self._endings.append(op)
        self._came.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return op.done

    async def close(self) -> None:
        """Stop; what is not yet written stays unwritten."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while self._takes or self._endings:
            await self._pause()
            endings = self._live_endings()[:COMMIT_CHANGES_MAX]
            takes = self._next_takes(COMMIT_CHANGES_MAX - len(endings))
            self._next_write = self._clock.now() + self._pace_s
            try:
                shard = await self._commit([*endings, *takes])
            except Exception as exc:
                self._fail(takes, endings, _typed(exc))
                self._retry_at = self._clock.now() + RETRY_S
                continue
            self._endings = [op for op in self._endings if op not in endings]
            self._settle([*endings, *takes], shard)

    async def _pause(self) -> None:
        if not self._takes:
            await self._wait_for_take(self._retry_at)
        if self._clock.now() < self._next_write:
            await self._clock.sleep_until(self._next_write)

    async def _wait_for_take(self, deadline: float) -> None:
        while not self._takes and self._clock.now() < deadline:
            self._came.clear()
            timer = asyncio.ensure_future(self._clock.sleep_until(deadline))
            came = asyncio.ensure_future(self._came.wait())
            try:
                await asyncio.wait({timer, came}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                timer.cancel()
                came.cancel()

    def _next_takes(self, room: int) -> list[ShardOp]:
        waiting = [op for op in self._takes if not op.done.done()]
        self._takes = waiting[room:]
        return waiting[:room]

    def _live_endings(self) -> list[ShardOp]:
        now = self._clock.now()
        expired = [op for op in self._endings if op.record.expires <= now]
        for op in expired:
            logger.error("a record was never written: the claim has expired")
            op.done.cancel()
        self._endings = [op for op in self._endings if not op.done.cancelled()]
        return list(self._endings)

    def _settle(self, ops: list[ShardOp], shard: ClaimShard) -> None:
        now = self._clock.now()
        for op in ops:
            if not op.done.done():
                op.done.set_result(shard.find(op.key, now))

    def _fail(
        self, takes: list[ShardOp], endings: list[ShardOp], exc: RadishshiftError
    ) -> None:
        logger.warning("shard {} was not written: {}", self._name, exc.message)
        known = self._known(endings)
        now = self._clock.now()
        for op in takes:
            if op.done.done():
                continue
            held = known.find(op.key, now)
            if held is not None and held.token != op.record.token:
                op.done.set_result(held)
            else:
                op.done.set_exception(exc)

    def _known(self, endings: list[ShardOp]) -> ClaimShard:
        if self._shard is None:
            return ClaimShard(self._name)
        shard = self._shard.copy()
        for op in endings:
            op.apply(shard, self._clock.now())
        return shard

    async def _commit(self, ops: list[ShardOp]) -> ClaimShard:
        for _ in range(COMMIT_TRIES):
            try:
                shard = await self._try_commit(ops)
            except (ConflictError, AlreadyExistsError, NotFoundError):
                await self._step_back()
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
            "too many hosts write this shard at once",
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
        if not fresh and any(op.doubtful(shard, now) for op in ops):
            self._stale = True
            return None
        if any(changes):
            self._shard = await self._write(shard, now)
            return self._shard
        return shard

    async def _step_back(self) -> None:
        self._stale = True
        pause_s = CONFLICT_PAUSE_S * self._random.random()
        await self._clock.sleep_until(self._clock.now() + pause_s)

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
                shard.take_segment(item)
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
        if len(shard.claims) <= HEAD_CLAIMS:
            return
        name = f"{self._name}.{self._token_prefix}.{self.writes}"
        segment = shard.seal(name, now)
        if segment is not None:
            self.writes += 1
            await self._platform.create(segment)
        elif len(shard.claims) > HEAD_CLAIMS_MAX:
            raise OverloadedError(
                "the shard of claims is full", retry_after_s=PLATFORM_RETRY_AFTER_S
            )

    async def _delete_segment(self, name: str) -> None:
        try:
            held = await self._platform.get(Kind.CLAIM_SHARD, name)
            await self._platform.delete(Kind.CLAIM_SHARD, name, held.revision)
        except RadishshiftError as exc:
            logger.warning("segment {} was left behind: {}", name, exc.message)


def _typed(exc: Exception) -> RadishshiftError:
    if isinstance(exc, RadishshiftError):
        return exc
    logger.exception("a shard of claims could not be read or written")
    return InternalError("claims can't be kept", verdict=Verdict.NOT_RUN)
