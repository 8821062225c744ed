"""Claims: durable records that make non-idempotent calls run at most once.

A claim is written to the platform before its call is sent to an endpoint, and the
outcome of the call is recorded in it. Claims are grouped into shards, see
`claim_shards`. Each shard has a preferred writer, the first live host by rendezvous
hashing, to which the other hosts forward their changes. This only saves writes:
any host may write a shard itself, and does so when the preferred writer is
unreachable.
"""

import asyncio
from dataclasses import dataclass

import logbook
import msgspec
import xxhash

from radishshift.claim_shards import (
    AcquireOp,
    ClaimRecord,
    ClaimState,
    FinishOp,
    ReleaseOp,
    Result,
    ShardOp,
)
from radishshift.claim_writer import PLATFORM_RETRY_AFTER_S, ShardWriter
from radishshift.clocks import Clock, finish_by
from radishshift.engines import ServiceReply
from radishshift.errors import (
    BadRequestError,
    DeadlineError,
    InProgressError,
    OverloadedError,
    PlatformUnavailableError,
    RadishshiftError,
    ResultLostError,
)
from radishshift.hosts import rendezvous_order
from radishshift.peers import Peers
from radishshift.platform import Platform
from radishshift.requests import ServiceCall
from radishshift.verdicts import Verdict

__all__ = ["Claim", "Claims"]

SHARD_COUNT = 16
WRITE_INTERVAL_S = 0.05
CLAIM_RETENTION_S = 3600.0
CALL_DURATION_S_MAX = 3600.0
PEER_TIMEOUT_S = 1.0
RECORD_TIMEOUT_S = 0.5
IN_PROGRESS_RETRY_AFTER_S_MAX = 2.0
UNWRITTEN_RECORDS_MAX = 10_000
TOPIC = "claims"

logger = logbook.Logger("claims")


class _Change(msgspec.Struct, omit_defaults=True):
    """A change that is forwarded to the preferred writer of its shard."""

    what: str
    key: str
    record: ClaimRecord


class _Outcome(msgspec.Struct, omit_defaults=True):
    """Reply to a forwarded change; `held` is the record that the shard then has."""

    ok: bool
    held: ClaimRecord | None = None


_OPS: dict[str, type[ShardOp]] = {
    "take": AcquireOp,
    "finish": FinishOp,
    "release": ReleaseOp,
}


@dataclass(slots=True)
class Claim:
    """The right of one attempt to run a call, or the outcome of an earlier attempt.

    Attributes
    ----------
    key : str
    record : ClaimRecord
    recorded_reply : ServiceReply or None
        Answer of an earlier attempt; the call is then not run again.
    """

    key: str
    record: ClaimRecord
    recorded_reply: ServiceReply | None = None

    def check_deadline(self, now: float) -> None:
        """Refuse to start the call after its deadline.

        After the deadline other hosts report the result as lost, and once the claim
        has expired a resend runs as a new call. So a host that was paused since it
        acquired the claim must not start the call.

        Raises
        ------
        DeadlineError
        """
        if now >= self.record.deadline:
            raise DeadlineError(
                "the deadline passed before the call was started",
                verdict=Verdict.NOT_RUN,
            )


class Claims:
    """Acquires claims and records outcomes in shards at the platform.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    process : str
        Name that no other process has or had: `HOST-INCARNATION`.
    peers : Peers or None
        Hosts among which the writing of the shards is divided.
    retention_s : float
        Time that a claim is stored after its call's deadline, in seconds.
    write_interval_s : float
        Least time between the starts of two writes of a shard, in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        process: str,
        peers: Peers | None = None,
        retention_s: float = CLAIM_RETENTION_S,
        write_interval_s: float = WRITE_INTERVAL_S,
    ) -> None:
        self._clock = clock
        self._process = process
        self._peers = peers
        self._retention_s = retention_s
        self._claim_count = 0
        self._writers = [
            ShardWriter(
                platform, clock, f"shard-{number:02}", process, write_interval_s
            )
            for number in range(SHARD_COUNT)
        ]
        self._background: set[asyncio.Task[None]] = set()
        if peers is not None:
            peers.handle(TOPIC, self._apply_forwarded)

    @property
    def backlog(self) -> int:
        """Return the number of outcomes and releases that are not yet written."""
        return sum(writer.backlog for writer in self._writers)

    @property
    def writes(self) -> int:
        """Return the number of writes sent to the platform."""
        return sum(writer.writes for writer in self._writers)

    async def claim(self, call: ServiceCall) -> Claim:
        """Return a claim on a call; it is durable when this returns.

        Raises
        ------
        InProgressError
            An earlier attempt is running.
        ResultLostError
            An earlier attempt may have run, and its answer is unknown or not stored.
        PlatformUnavailableError, OverloadedError, DeadlineError
            No claim could be acquired; this attempt has not run.
        BadRequestError
            The key was used for another call.
        """
        if self.backlog >= UNWRITTEN_RECORDS_MAX:
            raise OverloadedError(
                "too many results of calls are waiting to be recorded",
                retry_after_s=PLATFORM_RETRY_AFTER_S,
            )
        key, record = self._new_record(call)
        stored = await self._acquire(key, record)
        claim = Claim(key, record)
        if stored is None:
            raise DeadlineError(
                "the claim expired before it could be confirmed",
                verdict=Verdict.NOT_RUN,
            )
        if stored.token != record.token:
            claim.recorded_reply = self._recorded_answer(stored, record.fingerprint)
        return claim

    async def record(self, claim: Claim, reply: ServiceReply) -> None:
        """Record the answer of a claimed call, to be returned to resends.

        Returns when it is durable or after a short wait; it is then written in the
        background, so that the caller need not wait for it.
        """
        record = _with_outcome(claim.record, ClaimState.DONE, Result.of(reply))
        await self._write_completion("finish", claim.key, record)

    async def record_unknown(self, claim: Claim) -> None:
        """Record that a call may have run and that its answer is unknown."""
        record = _with_outcome(claim.record, ClaimState.UNKNOWN, None)
        await self._write_completion("finish", claim.key, record)

    async def release(self, claim: Claim) -> None:
        """Delete a claim whose call has certainly not run."""
        await self._write_completion("release", claim.key, claim.record)

    async def close(self) -> None:
        """Wait briefly for pending outcomes and releases to be written, then stop."""
        deadline = self._clock.now() + RECORD_TIMEOUT_S
        while self.backlog and self._clock.now() < deadline:
            await self._clock.sleep_until(self._clock.now() + WRITE_INTERVAL_S)
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        for writer in self._writers:
            await writer.close()

    def _new_record(self, call: ServiceCall) -> tuple[str, ClaimRecord]:
        scoped_key = f"{call.contract.customer}\0{call.idempotency_key}"
        key = xxhash.xxh3_128_hexdigest(scoped_key.encode())
        fingerprint = f"{call.service}\0{call.fingerprint}"
        self._claim_count += 1
        deadline = min(call.deadline, self._clock.now() + CALL_DURATION_S_MAX)
        record = ClaimRecord(
            fingerprint=xxhash.xxh3_128_hexdigest(fingerprint.encode()),
            token=f"{self._process}-{self._claim_count}",
            deadline=deadline,
            expires=deadline + self._retention_s,
        )
        return key, record

    async def _acquire(self, key: str, record: ClaimRecord) -> ClaimRecord | None:
        op = AcquireOp(key, record)
        forwarded = asyncio.Event()
        try:
            return await finish_by(
                self._clock, record.deadline, self._forward_or_acquire(op, forwarded)
            )
        except (RadishshiftError, TimeoutError, asyncio.CancelledError) as exc:
            if op.lost_reply or forwarded.is_set() or _is_timeout_or_cancelled(exc):
                self._submit(ReleaseOp(key, record, fence=True))
            if isinstance(exc, asyncio.CancelledError):
                raise
            raise _acquire_error(exc) from exc

    async def _forward_or_acquire(
        self, op: AcquireOp, forwarded: asyncio.Event
    ) -> ClaimRecord | None:
        writer = self._preferred_writer(op.key)
        if writer is not None:
            forwarded.set()
            outcome = await self._forward(writer, "take", op.key, op.record)
            if outcome.ok:
                return outcome.held
        return await self._submit(op)

    def _recorded_answer(self, stored: ClaimRecord, fingerprint: str) -> ServiceReply:
        if stored.fingerprint != fingerprint:
            raise BadRequestError("this idempotency key was used for another call")
        now = self._clock.now()
        if not stored.is_final(now) and not self._has_runner_restarted(stored):
            wait_s = min(IN_PROGRESS_RETRY_AFTER_S_MAX, stored.deadline - now)
            raise InProgressError("the call is running", retry_after_s=wait_s)
        if stored.result is None:
            raise ResultLostError("the call may have run; its result is not known")
        reply = stored.result.reply()
        if reply is None:
            raise ResultLostError(
                f"the call has run with status {stored.result.status}; its answer, "
                f"sha256 {stored.result.sha256}, was too long to be stored",
                verdict=Verdict.RAN,
            )
        return reply

    def _has_runner_restarted(self, stored: ClaimRecord) -> bool:
        """Tell whether the host that ran a call has restarted since."""
        if self._peers is None:
            return False
        name, incarnation, _ = stored.token.rsplit("-", 2)
        return any(
            host.name == name and host.incarnation > int(incarnation)
            for host in (self._peers.me, *self._peers.hosts())
        )

    async def _write_completion(
        self, op_name: str, key: str, record: ClaimRecord
    ) -> None:
        """Write an outcome or a release; after a short wait, in the background."""
        task = asyncio.create_task(self._forward_or_submit(op_name, key, record))
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        deadline = self._clock.now() + RECORD_TIMEOUT_S
        try:
            await finish_by(self._clock, deadline, asyncio.shield(task))
        except TimeoutError:
            logger.warning(
                "the change {} of a claim is not yet written; writing continues in the "
                "background",
                op_name,
            )

    async def _forward_or_submit(
        self, op_name: str, key: str, record: ClaimRecord
    ) -> None:
        writer = self._preferred_writer(key)
        if writer is not None:
            outcome = await self._forward(writer, op_name, key, record)
            if outcome.ok:
                return
        await self._submit(_OPS[op_name](key, record))

    def _submit(self, op: ShardOp) -> asyncio.Future[ClaimRecord | None]:
        return self._writers[_shard_number(op.key)].submit(op)

    def _preferred_writer(self, key: str) -> str | None:
        """Return the preferred writer of a key's shard, or None if it is this host."""
        if self._peers is None:
            return None
        me = self._peers.me.name
        names = [me, *(host.name for host in self._peers.live())]
        first = rendezvous_order(names, f"claims-{_shard_number(key)}")[0]
        return None if first == me else first

    async def _forward(
        self, host: str, op_name: str, key: str, record: ClaimRecord
    ) -> _Outcome:
        message = msgspec.json.encode(_Change(op_name, key, record))
        deadline = self._clock.now() + PEER_TIMEOUT_S
        try:
            reply = await self._peers.call(host, TOPIC, message, deadline)
            return msgspec.json.decode(reply, type=_Outcome)
        except (RadishshiftError, msgspec.DecodeError) as exc:
            logger.info("host {} did not apply a change to a claim: {}", host, exc)
            return _Outcome(ok=False)

    async def _apply_forwarded(self, _: str, message: bytes) -> bytes:
        change = msgspec.json.decode(message, type=_Change)
        if change.what == "take" and change.record.deadline <= self._clock.now():
            return msgspec.json.encode(_Outcome(ok=False))
        op = _OPS[change.what](change.key, change.record)
        deadline = self._clock.now() + PEER_TIMEOUT_S
        try:
            held = await finish_by(self._clock, deadline, self._submit(op))
        except (RadishshiftError, TimeoutError):
            return msgspec.json.encode(_Outcome(ok=False))
        return msgspec.json.encode(_Outcome(ok=True, held=held))


def _with_outcome(
    record: ClaimRecord, state: ClaimState, result: Result | None
) -> ClaimRecord:
    """Return a copy of a record with the outcome of its call."""
    return msgspec.structs.replace(record, state=state, result=result)


def _shard_number(key: str) -> int:
    return int(key[:8], 16) % SHARD_COUNT


def _is_timeout_or_cancelled(exc: BaseException) -> bool:
    return isinstance(exc, TimeoutError | asyncio.CancelledError)


def _acquire_error(exc: RadishshiftError | TimeoutError) -> RadishshiftError:
    """Return the error to raise when no claim could be acquired.

    The call has not run: it is sent only after its claim is durable.
    """
    if isinstance(exc, PlatformUnavailableError):
        return PlatformUnavailableError(
            "the platform is unreachable: this call was not run; whether an earlier "
            "call with the same idempotency key was run is unknown",
            verdict=Verdict.NOT_RUN,
            retry_after_s=PLATFORM_RETRY_AFTER_S,
        )
    if isinstance(exc, RadishshiftError):
        return exc
    return DeadlineError(
        "no claim could be acquired before the deadline", verdict=Verdict.NOT_RUN
    )
