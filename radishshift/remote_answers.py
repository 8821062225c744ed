"""Answers that another host of the data centre holds, fetched for a caller.

A host asks the others for an answer with a JSON object; the reply is a JSON object
on one line, followed by bytes of the answer. A host that has nothing new yet waits
a little before it replies, so that a caller follows an answer as it grows.
"""

import asyncio
from typing import Any

import msgspec

from radishshift.answers import Answer, Answers, AnswerSink
from radishshift.clocks import Clock
from radishshift.errors import NotFoundError, RadishshiftError, rebuild_error
from radishshift.events import skip_events
from radishshift.peers import Peers, PeerUnavailableError

__all__ = ["RemoteAnswers"]

TOPIC = "answer"
GROWTH_WAIT_S = 1.0
CALL_S = 3.0
PIECE_BYTES = 1 << 18


class _Question(msgspec.Struct):
    request_id: str
    customer: str
    position: int = 0
    events: int = 0


class _Part(msgspec.Struct):
    found: bool = False
    started: bool = False
    ended: bool = False
    position: int = 0
    status: int = 200
    content_type: str = ""
    headers: dict[str, str] = {}
    error: dict[str, Any] | None = None


class RemoteAnswers:
    """Fetches answers from the other hosts, and gives this host's to them.

    Parameters
    ----------
    peers : Peers
    answers : Answers
        Those of this host.
    clock : Clock
    """

    def __init__(self, peers: Peers, answers: Answers, clock: Clock) -> None:
        self._peers = peers
        self._answers = answers
        self._clock = clock
        peers.handle(TOPIC, self._reply)

    async def replay(
        self,
        request_id: str,
        customer: str,
        sink: AnswerSink,
        position: int = 0,
        events: int = 0,
    ) -> None:
        """Send an answer of another host to a sink as it grows.

        Parameters
        ----------
        request_id, customer : str
        sink : AnswerSink
        position, events : int
            Bytes, or else events, that the caller has already.

        Raises
        ------
        NotFoundError
            No host of the data centre has it.
        PeerUnavailableError
            No host in reach has it, but some were not in reach; or the one that has
            it went away.
        """
        question = _Question(request_id, customer, position, events)
        host, part, data = await self._find_host(question)
        shown = Answer(request_id, customer, 0.0)
        while True:
            if not part.found:
                raise NotFoundError(f"no answer {request_id}")
            if part.started and not shown.started:
                shown.started = True
                shown.status = part.status
                shown.content_type = part.content_type
                shown.headers = part.headers
                await sink.start(shown)
            if data:
                await sink.write(data)
            if part.ended and not data:
                break
            if sink.caller_disconnected:
                return
            question = _Question(request_id, customer, part.position + len(data))
            part, data = await self._ask(host, question)
        if part.error is not None:
            raise rebuild_error(part.error)

    async def _find_host(self, question: _Question) -> tuple[str, _Part, bytes]:
        hosts = self._peers.live(self._peers.me.data_centre)
        replies = await asyncio.gather(
            *(self._ask(host.name, question) for host in hosts), return_exceptions=True
        )
        unreached = False
        for host, reply in zip(hosts, replies, strict=True):
            if isinstance(reply, RadishshiftError):
                unreached = True
            elif isinstance(reply, BaseException):
                raise reply
            elif reply[0].found:
                return host.name, *reply
        if unreached:
            raise PeerUnavailableError(
                "a host that may hold the answer is not in reach", retry_after_s=2.0
            )
        raise NotFoundError(f"no answer {question.request_id}")

    async def _ask(self, host: str, question: _Question) -> tuple[_Part, bytes]:
        deadline = self._clock.now() + CALL_S
        message = msgspec.json.encode(question)
        reply = await self._peers.call(host, TOPIC, message, deadline)
        head, _, data = reply.partition(b"\n")
        try:
            return msgspec.json.decode(head, type=_Part), data
        except msgspec.DecodeError as exc:
            raise PeerUnavailableError(f"{host} sent no answer") from exc

    async def _reply(self, _: str, message: bytes) -> bytes:
        question = msgspec.json.decode(message, type=_Question)
        try:
            answer = self._answers.find(question.request_id, question.customer)
        except NotFoundError:
            return msgspec.json.encode(_Part()) + b"\n"
        position = question.position or skip_events(answer.data, question.events)
        if position >= len(answer.data) and not answer.ended:
            await self._until_changed(answer)
        data = bytes(answer.data[position : position + PIECE_BYTES])
        part = _Part(
            found=True,
            started=answer.started,
            ended=answer.ended,
            position=position,
            status=answer.status,
            content_type=answer.content_type,
            headers=answer.headers,
            error=None if answer.error is None else answer.error.body()["error"],
        )
        return msgspec.json.encode(part) + b"\n" + data

    @staticmethod
    async def _until_changed(answer: Answer) -> None:
        try:
            async with asyncio.timeout(GROWTH_WAIT_S):
                await answer.until_changed()
        except TimeoutError:
            return
