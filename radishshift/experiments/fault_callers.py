"""Callers of the faults experiment, and records of their requests and outcomes."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from absl import flags

from radishshift.answers import Answer
from radishshift.errors import RadishshiftError
from radishshift.experiments.fault_world import (
    CLOCK,
    TOKENS_PER_ANSWER,
    MemoryHost,
    World,
)
from radishshift.requests import ModelRequest, ServiceCall
from radishshift.verdicts import Verdict

__all__ = ["Audit", "Callers", "SentRequest", "Sink"]

FLAGS = flags.FLAGS
flags.DEFINE_float("faults_seconds", 60.0, "Duration of the load, in seconds.")
flags.DEFINE_float("faults_rate_per_s", 20.0, "New requests per second.")

CUSTOMER = "uyole-ring"
MODEL = "farm-advice-large"
VERSIONS = frozenset({"farm-advice-large.v1", "farm-advice-large.v2"})
REQUEST_TIMEOUT_S = 20.0
HANG_MARGIN_S = 2.0  # after the deadline a request counts as hung
MAX_TRIES = 60


class Sink:
    """The caller's end of a connection; it stores what it receives."""

    def __init__(self) -> None:
        self.caller_disconnected = False
        self.headers: dict[str, str] = {}
        self.data = bytearray()

    async def start(self, answer: Answer) -> None:
        """Store the headers."""
        self.headers = dict(answer.headers)

    async def write(self, data: bytes) -> None:
        """Store a part of the body."""
        self.data += data

    def push(self, data: bytes) -> bool:
        """Store a part of the body; there is always room."""
        self.data += data
        return True

    async def drain(self) -> None:
        """Return at once: there is always room."""

    @property
    def complete(self) -> bool:
        """Tell whether the end marker was received."""
        return self.data.endswith(b"data: [DONE]\n\n")

    def words(self) -> list[str]:
        """Return the words of the answer."""
        words = []
        for line in bytes(self.data).splitlines():
            if line.startswith(b"data: {"):
                for choice in msgspec.json.decode(line[6:]).get("choices", []):
                    words.append(choice["delta"]["content"])
        return words


@dataclass(slots=True)
class SentRequest:
    """A request of one caller and its outcome.

    Attributes
    ----------
    name : str
        Request id and idempotency key.
    kind : str
        "ask", "session", "book" or "poison".
    sent_at, deadline : float
    servable : bool
        Whether an endpoint in reach could serve it at each try.
    outcome : str
        "answered", "hung" (no reply by the deadline), "cut" (its host ended), an
        error code, or "none" if no host was ready.
    sink : Sink or None
        The answer.
    token : str
        Session token that it was sent with.
    session_version : str
        Version to which that session is pinned.
    """

    name: str
    kind: str
    sent_at: float
    deadline: float
    servable: bool = True
    outcome: str = ""
    sink: Sink | None = None
    token: str = ""
    session_version: str = ""


@dataclass(slots=True)
class Audit:
    """Records for the checks at the end of the experiment.

    Attributes
    ----------
    requests : list of SentRequest
    faults : Counter of str
        Injected faults, by kind.
    false_not_run : int
        Attempts that ran although the caller was told that they had not.
    session_moves : int
        Answers of a session by another version than the pinned one.
    cut_by_shutdown : int
        Requests cancelled by the shutdown of a draining host.
    withdrawn_at : float
        When the version was withdrawn.
    isolated_until : dict of str to float
        End of each host's latest pause or loss of the platform.
    """

    requests: list[SentRequest] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    false_not_run: int = 0
    session_moves: int = 0
    cut_by_shutdown: int = 0
    withdrawn_at: float = float("inf")
    isolated_until: dict[str, float] = field(default_factory=dict)


class Callers:
    """Callers that retry the requests that may be retried."""

    def __init__(self, world: World, audit: Audit, rng: random.Random) -> None:
        self._world = world
        self._audit = audit
        self._rng = rng
        self._number = 0
        self._sessions: list[tuple[str, str]] = []
        self._poison_lock = asyncio.Lock()

    async def send_all(self) -> None:
        """Send requests at random intervals for the duration of the load."""
        end = CLOCK.now() + FLAGS.faults_seconds
        tasks = []
        while CLOCK.now() < end:
            await asyncio.sleep(self._rng.expovariate(FLAGS.faults_rate_per_s))
            kinds = ("ask", "session", "book", "poison")
            kind = self._rng.choices(kinds, (50, 20, 29, 1))[0]
            request_coroutine = (
                self._run_poison_request()
                if kind == "poison"
                else self._run_request(kind)
            )
            tasks.append(asyncio.create_task(request_coroutine))
        await asyncio.gather(*tasks)

    async def _run_poison_request(self) -> None:
        """Send the poison request once its previous sending has ended."""
        async with self._poison_lock:
            await self._run_request("poison")

    async def _run_request(self, kind: str) -> None:
        self._number += 1
        now = CLOCK.now()
        deadline = now + REQUEST_TIMEOUT_S
        request = SentRequest(f"{kind}-{self._number}", kind, now, deadline)
        if kind == "session" and self._sessions:
            session = self._rng.choice(self._sessions)
            request.token, request.session_version = session
        self._audit.requests.append(request)
        for _ in range(MAX_TRIES):
            hosts = self._world.live_hosts()
            if hosts:
                host = self._rng.choice(hosts)
                request.servable &= self._is_servable(host, request)
                retry_delay_s = await self._send_once(host, request)
            else:
                retry_delay_s = 0.5
            if retry_delay_s is None or CLOCK.now() + retry_delay_s >= request.deadline:
                break
            await asyncio.sleep(retry_delay_s)
        request.outcome = request.outcome or "none"
        self._record_session(request)

    def _is_servable(self, host: MemoryHost, request: SentRequest) -> bool:
        booking = request.kind == "book"
        served = frozenset({"booking-desk"}) if booking else VERSIONS
        if booking and host.platform_link.faults.down:
            return False
        return any(self._world.reachable(host, served))

    async def _send_once(self, host: MemoryHost, request: SentRequest) -> float | None:
        """Send a request once; return the delay before the next try, if any."""
        started_at = CLOCK.now()
        sink = Sink()
        send = self._call_desk if request.kind == "book" else self._call_model
        task = host.spawn(send(host, request, sink))
        timeout_s = request.deadline - started_at + HANG_MARGIN_S
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        if not done:
            request.outcome = "hung"
            return None
        if task.cancelled():
            request.outcome = "cut"
            if request.kind == "book":
                self._world.uncertain_calls.add(request.name)
            return 0.1
        exc = task.exception()
        if exc is None:
            request.outcome = "answered"
            request.sink = sink
            return None
        if not isinstance(exc, RadishshiftError):
            raise exc
        request.outcome = exc.code
        self._check_verdict(request, host, started_at, exc)
        return self._retry_delay_s(request, exc)

    def _retry_delay_s(
        self, request: SentRequest, exc: RadishshiftError
    ) -> float | None:
        final_codes = {"withdrawn", "poison", "result-lost", "bad-session", "deadline"}
        if exc.code in final_codes:
            return None
        if request.kind == "book" and exc.code == "endpoint-crashed":
            return 0.1
        return max(0.1, exc.retry_after_s or 0.1)

    def _check_verdict(
        self,
        request: SentRequest,
        host: MemoryHost,
        started_at: float,
        exc: RadishshiftError,
    ) -> None:
        if exc.verdict is not Verdict.NOT_RUN:
            return
        self._audit.false_not_run += any(
            run.request_id == request.name and run.host == host.name
            for endpoint in self._world.endpoints.values()
            for run in endpoint.runs
            if run.at >= started_at
        )

    async def _call_model(
        self, host: MemoryHost, request: SentRequest, sink: Sink
    ) -> None:
        catalogue = host.router.catalogue
        text = f"{request.kind}-text" if request.kind == "poison" else request.name
        body = {
            "model": MODEL,
            "messages": [{"content": text}],
            "max_tokens": TOKENS_PER_ANSWER,
        }
        req = ModelRequest(
            request_id=request.name,
            contract=catalogue.contracts[CUSTOMER],
            task_class=catalogue.task_classes["season-plan"],
            operation="chat/completions",
            model=MODEL,
            body=body,
            body_bytes=msgspec.json.encode(body),
            stream=True,
            include_usage=False,
            arrived=CLOCK.now(),
            deadline=request.deadline,
            session_token=request.token,
            wants_session=request.kind == "session" and not request.token,
        )
        await host.router.answer_model(req, sink)

    async def _call_desk(
        self, host: MemoryHost, request: SentRequest, sink: Sink
    ) -> None:
        catalogue = host.router.catalogue
        call = ServiceCall(
            request_id=request.name,
            contract=catalogue.contracts[CUSTOMER],
            task_class=catalogue.task_classes["booking"],
            service="booking-desk",
            method="POST",
            path="/bookings",
            headers={},
            body=request.name.encode(),
            idempotent=False,
            arrived=CLOCK.now(),
            deadline=request.deadline,
            idempotency_key=request.name,
        )
        reply = await host.router.call_service(call)
        sink.data += reply.body

    def _record_session(self, request: SentRequest) -> None:
        if request.kind != "session" or request.outcome != "answered":
            return
        version = request.sink.headers["X-Radishshift-Version"]
        if request.token:
            self._audit.session_moves += version != request.session_version
        elif "X-Session" in request.sink.headers:
            self._sessions.append((request.sink.headers["X-Session"], version))
