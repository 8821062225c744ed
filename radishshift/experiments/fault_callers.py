"""Callers of the faults experiment, and what they wanted and got."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from absl import flags

from radishshift.answers import Answer
from radishshift.errors import RadishshiftError
from radishshift.experiments.fault_world import CLOCK, TOKENS, MemoryHost, World
from radishshift.requests import ModelRequest, ServiceCall
from radishshift.verdicts import Verdict

__all__ = ["Audit", "Callers", "SentRequest", "Sink"]

FLAGS = flags.FLAGS
flags.DEFINE_float("faults_seconds", 60.0, "Length of the load, in seconds.")
flags.DEFINE_float("faults_rate_per_s", 20.0, "Requests that callers begin a second.")

CUSTOMER = "uyole-ring"
MODEL = "farm-advice-large"
VERSIONS = frozenset({"farm-advice-large.v1", "farm-advice-large.v2"})
DEADLINE_S = 20.0
HANG_S = 2.0
TRIES_MAX = 60


class Sink:
    """A caller's end of the connection."""

    def __init__(self) -> None:
        self.caller_disconnected = False
        self.headers: dict[str, str] = {}
        self.data = bytearray()

    async def start(self, answer: Answer) -> None:
        """Take the headers."""
        self.headers = dict(answer.headers)

    async def write(self, data: bytes) -> None:
        """Take a part."""
        self.data += data

    def push(self, data: bytes) -> bool:
        """Take a part; there is always room."""
        self.data += data
        return True

    async def drain(self) -> None:
        """Return at once: there is always room."""

    @property
    def whole(self) -> bool:
        """Tell whether the end mark came."""
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
    """What one caller wanted and got."""

    name: str
    kind: str
    sent_at: float
    deadline: float
    servable: bool = True
    outcome: str = ""
    sink: Sink | None = None
    token: str = ""
    tokens_version: str = ""


@dataclass(slots=True)
class Audit:
    """Counts of what must not happen, and of what did."""

    requests: list[SentRequest] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    false_not_run: int = 0
    session_moves: int = 0
    cut_by_shutdown: int = 0
    withdrawn_at: float = float("inf")
    away_until: dict[str, float] = field(default_factory=dict)


class Callers:
    """Callers that send again what they may."""

    def __init__(self, world: World, audit: Audit, rng: random.Random) -> None:
        self._world = world
        self._audit = audit
        self._rng = rng
        self._number = 0
        self._sessions: list[tuple[str, str]] = []
        self._poisoner = asyncio.Lock()

    async def send_all(self) -> None:
        """Send requests at random for the length of the load."""
        end = CLOCK.now() + FLAGS.faults_seconds
        tasks = []
        while CLOCK.now() < end:
            await asyncio.sleep(self._rng.expovariate(FLAGS.faults_rate_per_s))
            kinds = ("ask", "session", "book", "poison")
            kind = self._rng.choices(kinds, (50, 20, 29, 1))[0]
            ask = self._ask_poison() if kind == "poison" else self._ask(kind)
            tasks.append(asyncio.create_task(ask))
        await asyncio.gather(*tasks)

    async def _ask_poison(self) -> None:
        """Send the poison request again, once its caller has had the last answer."""
        async with self._poisoner:
            await self._ask("poison")

    async def _ask(self, kind: str) -> None:
        self._number += 1
        now = CLOCK.now()
        deadline = now + DEADLINE_S
        request = SentRequest(f"{kind}-{self._number}", kind, now, deadline)
        if kind == "session" and self._sessions:
            session = self._rng.choice(self._sessions)
            request.token, request.tokens_version = session
        self._audit.requests.append(request)
        for _ in range(TRIES_MAX):
            hosts = self._world.live_hosts()
            if hosts:
                host = self._rng.choice(hosts)
                request.servable &= self._servable(host, request)
                wait_s = await self._try(host, request)
            else:
                wait_s = 0.5
            if wait_s is None or CLOCK.now() + wait_s >= request.deadline:
                break
            await asyncio.sleep(wait_s)
        request.outcome = request.outcome or "none"
        self._keep_session(request)

    def _servable(self, host: MemoryHost, request: SentRequest) -> bool:
        booking = request.kind == "book"
        served = frozenset({"booking-desk"}) if booking else VERSIONS
        if booking and host.way.faults.down:
            return False
        return any(self._world.reachable(host, served))

    async def _try(self, host: MemoryHost, request: SentRequest) -> float | None:
        """Send a request once; return the wait before the next try, if any."""
        began = CLOCK.now()
        sink = Sink()
        work = self._book if request.kind == "book" else self._ask_model
        task = host.spawn(work(host, request, sink))
        timeout_s = request.deadline - began + HANG_S
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        if not done:
            request.outcome = "hung"
            return None
        if task.cancelled():
            request.outcome = "cut"
            if request.kind == "book":
                self._world.unsure_calls.add(request.name)
            return 0.1
        exc = task.exception()
        if exc is None:
            request.outcome = "answered"
            request.sink = sink
            return None
        if not isinstance(exc, RadishshiftError):
            raise exc
        request.outcome = exc.code
        self._check_verdict(request, host, began, exc)
        return self._wait_s(request, exc)

    def _wait_s(self, request: SentRequest, exc: RadishshiftError) -> float | None:
        final = {"withdrawn", "poison", "result-lost", "bad-session", "deadline"}
        if exc.code in final:
            return None
        if request.kind == "book" and exc.code == "endpoint-crashed":
            return 0.1
        return max(0.1, exc.retry_after_s or 0.1)

    def _check_verdict(
        self,
        request: SentRequest,
        host: MemoryHost,
        began: float,
        exc: RadishshiftError,
    ) -> None:
        if exc.verdict is not Verdict.NOT_RUN:
            return
        self._audit.false_not_run += any(
            run.request_id == request.name and run.host == host.name
            for endpoint in self._world.endpoints.values()
            for run in endpoint.runs
            if run.at >= began
        )

    async def _ask_model(
        self, host: MemoryHost, request: SentRequest, sink: Sink
    ) -> None:
        catalogue = host.router.catalogue
        text = f"{request.kind}-text" if request.kind == "poison" else request.name
        body = {"model": MODEL, "messages": [{"content": text}], "max_tokens": TOKENS}
        req = ModelRequest(
            request_id=request.name,
            contract=catalogue.contracts[CUSTOMER],
            task_class=catalogue.classes["season-plan"],
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

    async def _book(self, host: MemoryHost, request: SentRequest, sink: Sink) -> None:
        catalogue = host.router.catalogue
        call = ServiceCall(
            request_id=request.name,
            contract=catalogue.contracts[CUSTOMER],
            task_class=catalogue.classes["booking"],
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

    def _keep_session(self, request: SentRequest) -> None:
        if request.kind != "session" or request.outcome != "answered":
            return
        version = request.sink.headers["X-Radishshift-Version"]
        if request.token:
            self._audit.session_moves += version != request.tokens_version
        elif "X-Session" in request.sink.headers:
            self._sessions.append((request.sink.headers["X-Session"], version))
