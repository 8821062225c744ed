"""Isolated retries of suspects: requests that were running when an endpoint crashed.

A suspect is retried only under a grant. One host, the first live one by rendezvous
rank, issues the grants: at most one at a time for each suspect, so that it cannot
crash two endpoints at once, and at most one for each endpoint, so that a crash
identifies the suspect that caused it.
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
GRANT_TOPIC = "poison-trial"
KNOWN_CRASHES_TOPIC = "poison-known"
READER_PURPOSE = "poison-reader"
POLL_INTERVAL_S = 1.0
RECORD_WAIT_S = 0.5
RECORD_TIMEOUT_S = 60.0
PEER_CALL_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.1
MAX_GRANT_DURATION_S = 60.0
MAX_GRANTS = 10_000
MAX_SUSPECTS_SENT = 2_000
MAX_HOSTS_QUERIED = 3

logger = logbook.Logger("poison")


class _GrantRequest(msgspec.Struct):
    fingerprint: str
    endpoint: str
    holder: str
    until: float
    ended: bool = False


class _GrantReply(msgspec.Struct):
    granted: bool
    crashes: list[Crash] = []


@dataclass(slots=True)
class _Grant:
    fingerprint: str
    endpoint: str
    holder: str
    until: float


class PoisonGuard(PoisonTracker):
    """Isolates suspects on retry and reports crashes to the other hosts.

    Parameters
    ----------
    clock : Clock
    peers : Peers or None
    platform : Platform or None
        Carries crashes between data centres that are cut off from each other.

    Attributes
    ----------
    ready : bool
        Whether the crashes known to another host were loaded, or loading was given up.
        The host must not accept requests until this is set.
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
        self._grants: list[_Grant] = []
        self._background = BackgroundTasks()
        self._last_grant_number = 0
        if peers is not None:
            peers.add_section(self)
            peers.handle(CRASH_TOPIC, self._handle_crash)
            peers.handle(GRANT_TOPIC, self._handle_grant_request)
            peers.handle(KNOWN_CRASHES_TOPIC, self._handle_known_request)

    async def load_crashes(self, deadline: float) -> None:
        """Load the known crashes from live hosts, as a new host knows none.

        A host that reaches no other before `deadline` starts without any.
        """
        while self._clock.now() < deadline and not self.ready:
            for host in self._peers.live()[:MAX_HOSTS_QUERIED]:
                reply = await self._call(host.name, KNOWN_CRASHES_TOPIC, b"{}")
                if reply is not None:
                    self._merge_all(msgspec.json.decode(reply, type=list[Crash]))
                    self.ready = True
            if not self.ready:
                await self._clock.sleep_until(self._clock.now() + RETRY_INTERVAL_S)
        self.ready = True

    def _merge_all(self, crashes: list[Crash]) -> None:
        for crash in crashes:
            self.merge_crash(crash, self._clock.now())

    async def _handle_known_request(self, *_: object) -> bytes:
        newest = list(self._suspects.values())[-MAX_SUSPECTS_SENT:]
        crashes = [crash for suspect in newest for crash in suspect.crashes]
        return msgspec.json.encode(crashes)

    async def poll_platform(self) -> None:
        """Poll the platform for crashes that unreachable data centres recorded.

        One host of each data centre polls and sends new crashes to the others there.
        """
        while True:
            await self._clock.sleep_until(self._clock.now() + POLL_INTERVAL_S)
            if self._is_reader():
                try:
                    await self._read_platform()
                except RadishshiftError as exc:
                    logger.info(
                        "failed to read crash records from the platform: {}",
                        exc.message,
                    )

    def _is_reader(self) -> bool:
        if self._peers is None:
            return True
        local_hosts = self._peers.live(self._peers.me.data_centre)
        names = [self._me, *(host.name for host in local_hosts)]
        return rendezvous_order(names, READER_PURPOSE)[0] == self._me

    async def _read_platform(self) -> None:
        recorded = await self._records.read(self._clock.now())
        for crash in recorded:
            if not self.is_known(crash):
                self.merge_crash(crash, self._clock.now())
                if self._peers is not None:
                    local_hosts = self._peers.live(self._peers.me.data_centre)
                    await self._send_crash(crash, local_hosts)

    async def report_crash(self, fingerprint: str, endpoint: str) -> None:
        """Record a crash of an endpoint and send it to every live host.

        To be awaited before the request is retried.
        """
        crash = Crash(fingerprint, endpoint, self._clock.now())
        self.merge_crash(crash, crash.at)
        logger.warning("endpoint {} crashed while running a request", endpoint)
        hosts = [] if self._peers is None else self._peers.live()
        await asyncio.gather(self._send_crash(crash, hosts), self._record(crash))

    async def _send_crash(self, crash: Crash, hosts: list[Host]) -> None:
        data = msgspec.json.encode(crash)
        calls = [self._call(host.name, CRASH_TOPIC, data) for host in hosts]
        await asyncio.gather(*calls)

    async def _record(self, crash: Crash) -> None:
        """Write a crash to the platform; a slow write goes on in the background."""
        if self._records is None:
            return
        task = self._background.run(self._record_with_retries(crash))
        try:
            deadline = self._clock.now() + RECORD_WAIT_S
            await finish_by(self._clock, deadline, asyncio.shield(task))
        except TimeoutError:
            logger.info(
                "a crash is still being recorded at the platform in the background"
            )

    async def _record_with_retries(self, crash: Crash) -> None:
        deadline = self._clock.now() + RECORD_TIMEOUT_S
        while self._clock.now() < deadline:
            try:
                self._merge_all(await self._records.add(crash))
                return
            except RadishshiftError as exc:
                logger.info("failed to record a crash at the platform: {}", exc.message)
            await self._clock.sleep_until(self._clock.now() + RETRY_INTERVAL_S)

    @asynccontextmanager
    async def isolated_retry(
        self, fingerprint: str, endpoint: str, deadline: float
    ) -> AsyncIterator[None]:
        """Hold a grant while a suspect runs; do nothing for other requests.

        Raises
        ------
        PoisonError
            The suspect crashed another endpoint in the meantime.
        DeadlineError
            No grant was given in time; the request has not run.
        """
        self.check(fingerprint, self._clock.now())
        if not self.crash_count(fingerprint, self._clock.now()):
            yield
            return
        self._last_grant_number += 1
        holder = f"{self._me}-{self._last_grant_number}"
        request = _GrantRequest(fingerprint, endpoint, holder, deadline)
        granters: set[str] = set()
        try:
            await self._wait_for_grant(request, deadline, granters)
            self.check(fingerprint, self._clock.now())
            yield
        finally:
            request.ended = True
            endings = (self._send_grant_request(name, request) for name in granters)
            await asyncio.gather(*endings)

    async def _wait_for_grant(
        self, request: _GrantRequest, deadline: float, granters: set[str]
    ) -> None:
        """Return once a grant is held; `granters` are the hosts that may hold one."""
        while self._clock.now() < deadline:
            now = self._clock.now()
            self.check(request.fingerprint, now)
            request.until = min(deadline, now + MAX_GRANT_DURATION_S)
            for granter in self._granter_candidates():
                granters.add(granter)
                reply = await self._send_grant_request(granter, request)
                if reply is not None:
                    break
            if reply is not None and reply.granted:
                return
            granters.discard(granter)
            await self._clock.sleep_until(self._clock.now() + RETRY_INTERVAL_S)
        raise DeadlineError(
            "the request was running when an endpoint crashed, and could not be "
            "retried in isolation before its deadline",
            verdict=Verdict.NOT_RUN,
        )

    def _granter_candidates(self) -> list[str]:
        names = [self._me]
        if self._peers is not None:
            names += [host.name for host in self._peers.live()]
        order = rendezvous_order(names, GRANT_TOPIC)
        return [*order[:MAX_HOSTS_QUERIED], self._me]

    async def _send_grant_request(
        self, granter: str, request: _GrantRequest
    ) -> _GrantReply | None:
        if granter == self._me:
            return self._grant(request)
        reply = await self._call(granter, GRANT_TOPIC, msgspec.json.encode(request))
        if reply is None:
            return None
        grant_reply = msgspec.json.decode(reply, type=_GrantReply)
        self._merge_all(grant_reply.crashes)
        return grant_reply

    def _grant(self, request: _GrantRequest) -> _GrantReply:
        now = self._clock.now()
        self._grants = [
            grant
            for grant in self._grants
            if grant.until > now and grant.holder != request.holder
        ]
        if request.ended:
            return _GrantReply(granted=False)
        if self.crash_count(request.fingerprint, now) >= MAX_CRASHES:
            return _GrantReply(False, self._crashes_of(request.fingerprint))
        busy = len(self._grants) >= MAX_GRANTS or any(
            grant.fingerprint == request.fingerprint
            or grant.endpoint == request.endpoint
            for grant in self._grants
        )
        if not busy:
            grant = _Grant(
                request.fingerprint,
                request.endpoint,
                request.holder,
                min(request.until, now + MAX_GRANT_DURATION_S),
            )
            self._grants.append(grant)
        return _GrantReply(granted=not busy)

    def _crashes_of(self, fingerprint: str) -> list[Crash]:
        return list(self._suspects[fingerprint].crashes)

    async def _handle_crash(self, _: str, data: bytes) -> bytes:
        self.merge_crash(msgspec.json.decode(data, type=Crash), self._clock.now())
        return b"{}"

    async def _handle_grant_request(self, _: str, data: bytes) -> bytes:
        request = msgspec.json.decode(data, type=_GrantRequest)
        return msgspec.json.encode(self._grant(request))

    async def _call(self, host: str, topic: str, data: bytes) -> bytes | None:
        deadline = self._clock.now() + PEER_CALL_TIMEOUT_S
        try:
            return await self._peers.call(host, topic, data, deadline)
        except RadishshiftError as exc:
            logger.info("peer {} did not answer: {}", host, exc.message)
            return None
