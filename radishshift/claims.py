"""Claims: the durable mark that a non-idempotent request is being run.

A claim is taken at the platform before its call leaves for an endpoint, and what
came of the call is recorded in it. Claims share objects, see `claim_shards`; each
shard is usually written by one host, the first of the live ones by rendezvous
rank, to whom the others pass their changes. That is for economy alone: any host
may write a shard itself, and does so when the usual writer is out of reach.
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

SHARDS = 16
PACE_S = 0.05
KEPT_S = 3600.0
RUN_S_MAX = 3600.0
PEER_ANSWER_S = 1.0
RECORD_WAIT_S = 0.5
POLL_S = 2.0
BACKLOG_MAX = 10_000
TOPIC = "claims"

logger = logbook.Logger("claims")


class _Change(msgspec.Struct, omit_defaults=True):
    """A change as it is passed to the usual writer of its shard."""

    what: str
    key: str
    record: ClaimRecord


class _Outcome(msgspec.Struct, omit_defaults=True):
    ok: bool
    held: ClaimRecord | None = None


_OPS: dict[str, type[ShardOp]] = {
    "take": AcquireOp,
    "finish": FinishOp,
    "release": ReleaseOp,
}


@dataclass(slots=True)
class Claim:
    """The right of one try to run a call, or what came of an earlier try.

    Attributes
    ----------
    key : str
    record : ClaimRecord
    recorded_reply : ServiceReply or None
        Answer of an earlier try; the call is then not run again.
    """

    key: str
    record: ClaimRecord
    recorded_reply: ServiceReply | None = None

    def check_deadline(self, now: float) -> None:
        """Refuse to start the call after its deadline.

        Others take the call for lost from then on, and forget the claim later: a
        host that was paused in between must not start it.

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
    """Claims kept at the platform.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    process : str
        Name of this process that no other has or had: `HOST-INCARNATION`.
    peers : Peers or None
        Hosts that share the writing of the shards.
    retention_s : float
        Time that a claim is held after its call's deadline, in seconds.
    write_interval_s : float
        Least time between two writes of a shard, in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        process: str,
        peers: Peers | None = None,
        retention_s: float = KEPT_S,
        write_interval_s: float = PACE_S,
    ) -> None:
        self._clock = clock
        self._process = process
        self._peers = peers
        self._kept_s = retention_s
        self._number = 0
        self._writers = [
            ShardWriter(
                platform, clock, f"shard-{number:02}", process, write_interval_s
            )
            for number in range(SHARDS)
        ]
        self._background: set[asyncio.Task[None]] = set()
        if peers is not None:
            peers.handle(TOPIC, self._answer_peer)

    @property
    def backlog(self) -> int:
        """Return the number of records and releases that are not yet written."""
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
            An earlier try runs now.
        ResultLostError
            An earlier try may have run, and its answer is not known or not kept.
        PlatformUnavailableError, OverloadedError, DeadlineError
            No claim could be taken; this try has not run.
        BadRequestError
            The key was used for another call.
        """
        if self.backlog >= BACKLOG_MAX:
            raise OverloadedError(
                "too many results wait to be recorded",
                retry_after_s=PLATFORM_RETRY_AFTER_S,
            )
        key, record = self._new_record(call)
        held = await self._take(key, record)
        claim = Claim(key, record)
        if held is None:
            raise DeadlineError("the claim has expired", verdict=Verdict.NOT_RUN)
        if held.token != record.token:
            claim.recorded_reply = self._recorded(held, record.fingerprint)
        return claim

    async def record(self, claim: Claim, reply: ServiceReply) -> None:
        """Keep the answer of a claimed call for resends.

        Returns when it is durable or after a short wait; the record is then
        written in the background, and the caller need not wait for it.
        """
        record = _with_state(claim.record, ClaimState.DONE, Result.of(reply))
        await self._finish("finish", claim.key, record)

    async def record_unknown(self, claim: Claim) -> None:
        """Record that a call may have run and that its answer is not known."""
        record = _with_state(claim.record, ClaimState.UNKNOWN, None)
        await self._finish("finish", claim.key, record)

    async def release(self, claim: Claim) -> None:
        """Give up a claim whose call has certainly not run."""
        await self._finish("release", claim.key, claim.record)

    async def close(self) -> None:
        """Wait shortly for what is not yet written, then stop."""
        deadline = self._clock.now() + RECORD_WAIT_S
        while self.backlog and self._clock.now() < deadline:
            await self._clock.sleep_until(self._clock.now() + PACE_S)
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        for writer in self._writers:
            await writer.close()

    def _new_record(self, call: ServiceCall) -> tuple[str, ClaimRecord]:
        whole = f"{call.contract.customer}\0{call.idempotency_key}"
        key = xxhash.xxh3_128_hexdigest(whole.encode())
        fingerprint = f"{call.service}\0{call.fingerprint}"
        self._number += 1
        deadline = min(call.deadline, self._clock.now() + RUN_S_MAX)
        record = ClaimRecord(
            fingerprint=xxhash.xxh3_128_hexdigest(fingerprint.encode()),
            token=f"{self._process}-{self._number}",
            deadline=deadline,
            expires=deadline + self._kept_s,
        )
        return key, record

    async def _take(self, key: str, record: ClaimRecord) -> ClaimRecord | None:
        op = AcquireOp(key, record)
        passed_on = asyncio.Event()
        try:
            return await finish_by(
                self._clock, record.deadline, self._take_somewhere(op, passed_on)
            )
        except (RadishshiftError, TimeoutError, asyncio.CancelledError) as exc:
            if op.lost_reply or passed_on.is_set() or _given_up(exc):
                self._submit(ReleaseOp(key, record, fence=True))
            if isinstance(exc, asyncio.CancelledError):
                raise
            raise _refusal(exc) from exc

    async def _take_somewhere(
        self, op: AcquireOp, passed_on: asyncio.Event
    ) -> ClaimRecord | None:
        writer = self._usual_writer(op.key)
        if writer is not None:
            passed_on.set()
            outcome = await self._pass_on(writer, "take", op.key, op.record)
            if outcome.ok:
                return outcome.held
        return await self._submit(op)

    def _recorded(self, held: ClaimRecord, fingerprint: str) -> ServiceReply:
        if held.fingerprint != fingerprint:
            raise BadRequestError("this idempotency key was used for another call")
        now = self._clock.now()
        if not held.over(now) and not self._is_runner_gone(held):
            wait_s = min(POLL_S, held.deadline - now)
            raise InProgressError("the call is running", retry_after_s=wait_s)
        if held.result is None:
            raise ResultLostError("the call may have run; its result is not known")
        reply = held.result.reply()
        if reply is None:
            raise ResultLostError(
                f"the call has run with status {held.result.status}; its answer, "
                f"sha256 {held.result.sha256}, was too long to be kept",
                verdict=Verdict.RAN,
            )
        return reply

    def _is_runner_gone(self, held: ClaimRecord) -> bool:
        """Tell whether the host that ran a call has been started anew since."""
        if self._peers is None:
            return False
        name, incarnation, _ = held.token.rsplit("-", 2)
        return any(
            host.name == name and host.incarnation > int(incarnation)
            for host in (self._peers.me, *self._peers.hosts())
        )

    async def _finish(self, what: str, key: str, record: ClaimRecord) -> None:
        task = asyncio.create_task(self._finish_somewhere(what, key, record))
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        deadline = self._clock.now() + RECORD_WAIT_S
        try:
            await finish_by(self._clock, deadline, asyncio.shield(task))
        except TimeoutError:
            logger.warning("a {} of a claim is written in the background", what)

    async def _finish_somewhere(self, what: str, key: str, record: ClaimRecord) -> None:
        writer = self._usual_writer(key)
        if writer is not None:
            outcome = await self._pass_on(writer, what, key, record)
            if outcome.ok:
                return
        await self._submit(_OPS[what](key, record))

    def _submit(self, op: ShardOp) -> asyncio.Future[ClaimRecord | None]:
        return self._writers[_shard_number(op.key)].submit(op)

    def _usual_writer(self, key: str) -> str | None:
        """Return the other host that usually writes a key's shard, if any."""
        if self._peers is None:
            return None
        me = self._peers.me.name
        names = [me, *(host.name for host in self._peers.live())]
        first = rendezvous_order(names, f"claims-{_shard_number(key)}")[0]
        return None if first == me else first

    async def _pass_on(
        self, host: str, what: str, key: str, record: ClaimRecord
    ) -> _Outcome:
        message = msgspec.json.encode(_Change(what, key, record))
        deadline = self._clock.now() + PEER_ANSWER_S
        try:
            reply = await self._peers.call(host, TOPIC, message, deadline)
            return msgspec.json.decode(reply, type=_Outcome)
        except (RadishshiftError, msgspec.DecodeError) as exc:
            logger.info("{} did not write a claim: {}", host, exc)
            return _Outcome(ok=False)

    async def _answer_peer(self, _: str, message: bytes) -> bytes:
        change = msgspec.json.decode(message, type=_Change)
        if change.what == "take" and change.record.deadline <= self._clock.now():
            return msgspec.json.encode(_Outcome(ok=False))
        op = _OPS[change.what](change.key, change.record)
        deadline = self._clock.now() + PEER_ANSWER_S
        try:
            held = await finish_by(self._clock, deadline, self._submit(op))
        except (RadishshiftError, TimeoutError):
            return msgspec.json.encode(_Outcome(ok=False))
        return msgspec.json.encode(_Outcome(ok=True, held=held))


def _with_state(
    record: ClaimRecord, state: ClaimState, result: Result | None
) -> ClaimRecord:
    """Return a record with what came of its call."""
    return msgspec.structs.replace(record, state=state, result=result)


def _shard_number(key: str) -> int:
    return int(key[:8], 16) % SHARDS


def _given_up(exc: BaseException) -> bool:
    return isinstance(exc, TimeoutError | asyncio.CancelledError)


def _refusal(exc: RadishshiftError | TimeoutError) -> RadishshiftError:
    if isinstance(exc, PlatformUnavailableError):
        return PlatformUnavailableError(
            "the platform is out of reach: this call was not run; whether an earlier "
            "one with its key was can't be told now",
            verdict=Verdict.NOT_RUN,
            retry_after_s=PLATFORM_RETRY_AFTER_S,
        )
    if isinstance(exc, RadishshiftError):
        return exc
    return DeadlineError(
        "no claim could be taken before the deadline", verdict=Verdict.NOT_RUN
    )
