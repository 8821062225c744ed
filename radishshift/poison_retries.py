"""Trials of suspects: requests that ran where an endpoint crashed.

A suspect runs only under a trial. One host, the first live one by rendezvous rank,
grants trials: at any time one for a suspect, so that it can't crash two endpoints
at once, and one for an endpoint, so that a crash tells which suspect it was.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import logbook
import msgspec

from radishshift.background import BackgroundTasks
from radishshift.clocks import Clock, finish_by
from radishshift.errors import DeadlineError, RadishshiftError
from radishshift.hosts import Host, rendezvous_order
from radishshift.peers import Peers
from radishshift.platform import Platform
from radishshift.poison import MAX_CRASHES, Crash, PoisonTracker
from radishshift.poison_records import PoisonRecords
from radishshift.verdicts import Verdict

__all__ = ["PoisonGuard"]

CRASH_TOPIC = "poison-crash"
TRIAL_TOPIC = "poison-trial"
KNOWN_TOPIC = "poison-known"
READER_PURPOSE = "poison-reader"
POLL_S = 1.0
RECORD_S = 0.5
RECORD_S_MAX = 60.0
PEER_ANSWER_S = 0.5
ASK_AGAIN_S = 0.1
TRIAL_S_MAX = 60.0
TRIALS_MAX = 10_000
KNOWN_TOLD_MAX = 2_000
GRANTERS_TRIED = 3

logger = logbook.Logger("poison")


class _TrialRequest(msgspec.Struct):
    fingerprint: str
    endpoint: str
    holder: str
    until: float
    ended: bool = False


class _TrialReply(msgspec.Struct):
    granted: bool
    crashes: list[Crash] = []


@dataclass(slots=True)
class _Trial:
    fingerprint: str
    endpoint: str
    holder: str
    until: float


class PoisonGuard(PoisonTracker):
    """Keeps suspects apart and tells the other hosts of crashes.

    Parameters
    ----------
    clock : Clock
    peers : Peers or None
    platform : Platform or None
        Carries crashes between data centres that are cut off from each other.

    Attributes
    ----------
    ready : bool
        Whether another host has told what it knows; no work is to come before.
    """

    def __init__(
        self,
        clock: Clock,
        peers: Peers | None = None,
        platform: Platform | None = None,
    ) -> None:
        super().__init__()
        self._records = None if platform is None else PoisonRecords(platform)
        self.ready = peers is None
        self._clock = clock
        self._peers = peers
        self._me = "" if peers is None else peers.me.name
        self._trials: list[_Trial] = []
        self._recording = BackgroundTasks()
        self._number = 0
        if peers is not None:
            peers.add_section(self)
            peers.handle(CRASH_TOPIC, self._hear_crash)
            peers.handle(TRIAL_TOPIC, self._answer_trial)
            peers.handle(KNOWN_TOPIC, self._tell_known)

    async def load_crashes(self, deadline: float) -> None:
        """Ask a live host for the crashes it knows; until then this one knows none.

        A host that meets no other before `deadline` begins with nothing.
        """
        while self._clock.now() < deadline and not self.ready:
            for host in self._peers.live()[:GRANTERS_TRIED]:
                reply = await self._call(host.name, KNOWN_TOPIC, b"{}")
                if reply is not None:
                    self._take_all(msgspec.json.decode(reply, type=list[Crash]))
                    self.ready = True
            if not self.ready:
                await self._clock.sleep_until(self._clock.now() + ASK_AGAIN_S)
        self.ready = True

    def _take_all(self, crashes: list[Crash]) -> None:
        for crash in crashes:
            self.merge_crash(crash, self._clock.now())

    async def _tell_known(self, *_: object) -> bytes:
        newest = list(self._suspects.values())[-KNOWN_TOLD_MAX:]
        crashes = [crash for suspect in newest for crash in suspect.crashes]
        return msgspec.json.encode(crashes)

    async def poll_platform(self) -> None:
        """Read from the platform what data centres out of reach have written.

        One host of each data centre does so and tells the others.
        """
        while True:
            await self._clock.sleep_until(self._clock.now() + POLL_S)
            if self._is_reader():
                try:
                    await self._read_platform()
                except RadishshiftError as exc:
                    logger.info("poison was not read: {}", exc.message)

    def _is_reader(self) -> bool:
        if self._peers is None:
            return True
        near = self._peers.live(self._peers.me.data_centre)
        names = [self._me, *(host.name for host in near)]
        return rendezvous_order(names, READER_PURPOSE)[0] == self._me

    async def _read_platform(self) -> None:
        crashes = await self._records.read(self._clock.now())
        for crash in crashes:
            if not self.is_known(crash):
                self.merge_crash(crash, self._clock.now())
                if self._peers is not None:
                    near = self._peers.live(self._peers.me.data_centre)
                    await self._tell(crash, near)

    async def report_crash(self, fingerprint: str, endpoint: str) -> None:
        """Note a crash and tell every live host before the request goes on."""
        crash = Crash(fingerprint, endpoint, self._clock.now())
        self.merge_crash(crash, crash.at)
        logger.warning("{} crashed on a request", endpoint)
        hosts = [] if self._peers is None else self._peers.live()
        await asyncio.gather(self._tell(crash, hosts), self._record(crash))

    async def _tell(self, crash: Crash, hosts: list[Host]) -> None:
        data = msgspec.json.encode(crash)
        calls = [self._call(host.name, CRASH_TOPIC, data) for host in hosts]
        await asyncio.gather(*calls)

    async def _record(self, crash: Crash) -> None:
        """Write a crash to the platform, going on in the background if that is slow."""
        if self._records is None:
            return
        task = self._recording.run(self._keep_recording(crash))
        try:
            deadline = self._clock.now() + RECORD_S
            await finish_by(self._clock, deadline, asyncio.shield(task))
        except TimeoutError:
            logger.info("a crash is recorded in the background")

    async def _keep_recording(self, crash: Crash) -> None:
        deadline = self._clock.now() + RECORD_S_MAX
        while self._clock.now() < deadline:
            try:
                self._take_all(await self._records.add(crash))
                return
            except RadishshiftError as exc:
                logger.info("a crash was not recorded: {}", exc.message)
            await self._clock.sleep_until(self._clock.now() + ASK_AGAIN_S)

    @asynccontextmanager
    async def isolated_retry(
        self, fingerprint: str, endpoint: str, deadline: float
    ) -> AsyncIterator[None]:
        """Hold a trial while a suspect runs; do nothing for other requests.

        Raises
        ------
        PoisonError
            It crashed another endpoint meanwhile.
        DeadlineError
            No trial was granted in time; the request has not run.
        """
        self.check(fingerprint, self._clock.now())
        if not self.crash_count(fingerprint, self._clock.now()):
            yield
            return
        self._number += 1
        holder = f"{self._me}-{self._number}"
        until = min(deadline, self._clock.now() + TRIAL_S_MAX)
        request = _TrialRequest(fingerprint, endpoint, holder, until)
        granter = await self._wait_for_grant(request, deadline)
        try:
            self.check(fingerprint, self._clock.now())
            yield
        finally:
            request.ended = True
            await self._ask(granter, request)

    async def _wait_for_grant(self, request: _TrialRequest, deadline: float) -> str:
        while self._clock.now() < deadline:
            self.check(request.fingerprint, self._clock.now())
            for granter in self._granters():
                reply = await self._ask(granter, request)
                if reply is not None:
                    break
            if reply is not None and reply.granted:
                return granter
            await self._clock.sleep_until(self._clock.now() + ASK_AGAIN_S)
        raise DeadlineError(
            "the request ran where an endpoint crashed, and could not be tried apart "
            "from others in time",
            verdict=Verdict.NOT_RUN,
        )

    def _granters(self) -> list[str]:
        names = [self._me]
        if self._peers is not None:
            names += [host.name for host in self._peers.live()]
        order = rendezvous_order(names, TRIAL_TOPIC)
        return [*order[:GRANTERS_TRIED], self._me]

    async def _ask(self, granter: str, request: _TrialRequest) -> _TrialReply | None:
        if granter == self._me:
            return self._grant(request)
        reply = await self._call(granter, TRIAL_TOPIC, msgspec.json.encode(request))
        if reply is None:
            return None
        answer = msgspec.json.decode(reply, type=_TrialReply)
        self._take_all(answer.crashes)
        return answer

    def _grant(self, request: _TrialRequest) -> _TrialReply:
        now = self._clock.now()
        self._trials = [
            trial
            for trial in self._trials
            if trial.until > now and trial.holder != request.holder
        ]
        if request.ended:
            return _TrialReply(granted=False)
        if self.crash_count(request.fingerprint, now) >= MAX_CRASHES:
            return _TrialReply(False, self._crashes_of(request.fingerprint))
        busy = len(self._trials) >= TRIALS_MAX or any(
            trial.fingerprint == request.fingerprint
            or trial.endpoint == request.endpoint
            for trial in self._trials
        )
        if not busy:
            trial = _Trial(
                request.fingerprint,
                request.endpoint,
                request.holder,
                min(request.until, now + TRIAL_S_MAX),
            )
            self._trials.append(trial)
        return _TrialReply(granted=not busy)

    def _crashes_of(self, fingerprint: str) -> list[Crash]:
        return list(self._suspects[fingerprint].crashes)

    async def _hear_crash(self, _: str, data: bytes) -> bytes:
        self.merge_crash(msgspec.json.decode(data, type=Crash), self._clock.now())
        return b"{}"

    async def _answer_trial(self, _: str, data: bytes) -> bytes:
        request = msgspec.json.decode(data, type=_TrialRequest)
        return msgspec.json.encode(self._grant(request))

    async def _call(self, host: str, topic: str, data: bytes) -> bytes | None:
        deadline = self._clock.now() + PEER_ANSWER_S
        try:
            return await self._peers.call(host, topic, data, deadline)
        except RadishshiftError as exc:
            logger.info("{} gave no answer: {}", host, exc.message)
            return None
