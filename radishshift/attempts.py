"""Attempts of one version at a model request."""

from typing import TYPE_CHECKING

import logbook

from radishshift.answers import Answer, AnswerSink
from radishshift.bills import Bill, BillItem
from radishshift.catalogue import ModelVersion
from radishshift.endpoints import Endpoint
from radishshift.engines import EngineStream
from radishshift.errors import EndpointError
from radishshift.events import DONE, EventScanner, Usage, read_usage
from radishshift.evidence import Outcome
from radishshift.requests import ModelRequest
from radishshift.sessions import Session

if TYPE_CHECKING:
    from radishshift.router import Router

__all__ = ["VersionRun"]

SESSION_S = 3600.0

logger = logbook.Logger("attempts")


class VersionRun:
    """One version's try at a request, over as many attempts as it takes.

    Parameters
    ----------
    router : Router
    req : ModelRequest
    version : ModelVersion
    bill : Bill
        Each attempt that gave an answer adds an item.
    answer : Answer
    sink : AnswerSink
    """

    def __init__(
        self,
        router: "Router",
        req: ModelRequest,
        version: ModelVersion,
        bill: Bill,
        answer: Answer,
        sink: AnswerSink,
    ) -> None:
        self.router = router
        self.req = req
        self.version = version
        self.bill = bill
        self.answer = answer
        self.sink = sink
        self.started = False

    async def until_done(self) -> None:
        """Try endpoints until one has given the whole answer."""
        router = self.router
        tried: set[str] = set()
        while True:
            endpoint = router.choose_endpoint(
                self.version.name, self.req.body_bytes, tried
            )
            tried.add(endpoint.name)
            try:
                await self._attempt(endpoint, len(tried))
                return
            except EndpointError as exc:
                idempotent = not self.started
                if not router.retry_budget.allows(
                    exc, idempotent, self.req.deadline, router.clock.now()
                ):
                    raise
                logger.info("attempt failed at {}: {}", endpoint.name, exc.message)

    async def _attempt(self, endpoint: Endpoint, number: int) -> None:
        router = self.router
        attempt_id = f"{self.req.request_id}-{self.version.name}-{number}"
        began = router.clock.now()
        router.loads.started(endpoint)
        try:
            async with router.engines.open(
                endpoint, self.req, self.version.name, attempt_id
            ) as stream:
                if self.req.stream:
                    usage = await self._relay(endpoint, stream, began)
                else:
                    usage = await self._collect(stream, began)
        except EndpointError:
            self._note(endpoint, began, Usage(), ok=False)
            raise
        finally:
            router.loads.ended(endpoint)
        self._note(endpoint, began, usage, ok=True)
        await self._finish(endpoint, usage)

    async def _relay(
        self, endpoint: Endpoint, stream: EngineStream, began: float
    ) -> Usage:
        scanner = EventScanner(self.req.include_usage)
        async for data in stream.chunks():
            events = scanner.feed(data)
            if not events:
                continue
            if not self.started:
                wait_s = self.router.clock.now() - began
                self.router.first_token(endpoint, self.req, wait_s)
                await self._start(stream)
            self.answer.append(events)
            await self.sink.write(events)
        if not scanner.done:
            raise EndpointError("the stream ended too soon")
        return scanner.usage or Usage()

    async def _collect(self, stream: EngineStream, began: float) -> Usage:
        body = b"".join([data async for data in stream.chunks()])
        usage = read_usage(body)
        if usage is None:
            raise EndpointError("the endpoint's answer is not whole")
        self.router.whole_answer(self.req, self.router.clock.now() - began)
        await self._start(stream)
        self.answer.append(body)
        return usage

    async def _start(self, stream: EngineStream) -> None:
        self.started = True
        answer = self.answer
        answer.content_type = stream.content_type
        answer.headers["X-Request-Id"] = self.req.request_id
        answer.headers["X-Radishshift-Version"] = self.version.name
        if self.req.session_token:
            answer.headers["X-Session"] = self.req.session_token
        elif self.req.wants_session:
            answer.headers["X-Session"] = self._new_session()
        await self.sink.start(answer)

    def _new_session(self) -> str:
        session = Session(
            session_id=self.req.request_id,
            customer=self.req.contract.customer,
            version=self.version.name,
            expires=self.router.clock.now() + SESSION_S,
        )
        return self.router.session_keys.issue(session)

    def _note(self, endpoint: Endpoint, began: float, usage: Usage, ok: bool) -> None:
        whole_s = self.router.clock.now() - began
        outcome = Outcome(
            version=self.version.name,
            endpoint=endpoint.name,
            customer=self.req.contract.customer,
            task_class=self.req.task_class.name,
            ok=ok,
            first_token_s=whole_s,
            between_tokens_s=whole_s / max(1, usage.completion_tokens),
            whole_s=whole_s,
            cost=self.version.cost(usage.prompt_tokens, usage.completion_tokens),
        )
        self.router.evidence.record(outcome)

    async def _finish(self, endpoint: Endpoint, usage: Usage) -> None:
        cost = self.version.cost(usage.prompt_tokens, usage.completion_tokens)
        item = BillItem(
            self.version.name,
            endpoint.name,
            usage.prompt_tokens,
            usage.completion_tokens,
            cost,
        )
        self.bill.items.append(item)
        await self.router.biller.secure(self.bill)
        last = DONE if self.req.stream else b""
        if last:
            self.answer.append(last)
            await self.sink.write(last)
        else:
            await self.sink.write(b"".join(self.answer.parts))
