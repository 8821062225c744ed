"""Fetches answers for callers from other hosts of the data centre.

A host queries the others for an answer with a JSON object; the reply is a JSON
object on one line, followed by bytes of the answer. A host that has no new bytes
delays its reply (long polling), so that a caller can follow an answer as it grows.
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
LONG_POLL_S = 1.0
FOLLOWED_S = 2.0  # after a query, within which the next one comes
QUERY_TIMEOUT_S = 3.0
CHUNK_BYTES_MAX = 1 << 18


class _Query(msgspec.Struct):
    """Asks for an answer; `token` is empty until a part of it has been received."""

    request_id: str
    customer: str
    position: int = 0
    events: int = 0
    token: str = ""


class _QueryReply(msgspec.Struct):
    found: bool = False
    started: bool = False
    ended: bool = False
    position: int = 0
    status: int = 200
    content_type: str = ""
    headers: dict[str, str] = {}
    error: dict[str, Any] | None = None
    token: str = ""


class RemoteAnswers:
    """Fetches answers from other hosts and serves this host's answers to them.

    Parameters
    ----------
    peers : Peers
    answers : Answers
        Answers that this host stores.
    clock : Clock
    """

    def __init__(self, peers: Peers, answers: Answers, clock: Clock) -> None:
        self._peers = peers
        self._answers = answers
        self._clock = clock
        peers.handle(TOPIC, self._handle_query)

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
            Number of bytes, or else of events, that the caller has already received.

        Raises
        ------
        NotFoundError
            No host of the data centre has it, or its holder no longer has it.
        PeerUnavailableError
            No reachable host has it, but some were unreachable; or the host that
            has it became unreachable.
        """
        query = _Query(request_id, customer, position, events)
        host, head, data = await self._find_holder(query)
        received = Answer(request_id, customer, 0.0)
        while True:
            if not head.found:
                raise NotFoundError(f"no answer {request_id}")
            if head.started and not received.started:
                received.started = True
                received.status = head.status
                received.content_type = head.content_type
                received.headers = head.headers
                await sink.start(received)
            if data:
                await sink.write(data)
            if head.ended and not data:
                break
            if sink.caller_disconnected:
                return
            token = head.token if received.started else ""
            query = _Query(request_id, customer, head.position + len(data), token=token)
            head, data = await self._query(host, query)
        if head.error is not None:
            raise rebuild_error(head.error)

    async def _find_holder(self, query: _Query) -> tuple[str, _QueryReply, bytes]:
        hosts = self._peers.live(self._peers.me.data_centre)
        replies = await asyncio.gather(
            *(self._query(host.name, query) for host in hosts), return_exceptions=True
        )
        any_unreachable = False
        found = []
        for host, reply in zip(hosts, replies, strict=True):
            if isinstance(reply, RadishshiftError):
                any_unreachable = True
            elif isinstance(reply, BaseException):
                raise reply
            elif reply[0].found:
                found.append((host.name, *reply))
        if found:
            # A resend through another host may have run where the first one failed.
            return min(found, key=lambda item: item[1].error is not None)
        if any_unreachable:
            raise PeerUnavailableError(
                "a host that may have the answer is unreachable", retry_after_s=2.0
            )
        raise NotFoundError(f"no answer {query.request_id}")

    async def _query(self, host: str, query: _Query) -> tuple[_QueryReply, bytes]:
        deadline = self._clock.now() + QUERY_TIMEOUT_S
        message = msgspec.json.encode(query)
        reply = await self._peers.call(host, TOPIC, message, deadline)
        head, _, data = reply.partition(b"\n")
        try:
            return msgspec.json.decode(head, type=_QueryReply), data
        except msgspec.DecodeError as exc:
            raise PeerUnavailableError(f"host {host} sent a malformed reply") from exc

    async def _handle_query(self, _: str, message: bytes) -> bytes:
        query = msgspec.json.decode(message, type=_Query)
        try:
            answer = self._answers.find(query.request_id, query.customer)
        except NotFoundError:
            answer = None
        if answer is None or query.token not in ("", answer.token):
            return msgspec.json.encode(_QueryReply()) + b"\n"
        answer.followed_until = self._clock.now() + FOLLOWED_S
        position = query.position or skip_events(answer.data, query.events)
        if position >= len(answer.data) and not answer.ended:
            await self._wait_until_changed(answer)
        data = bytes(answer.data[position : position + CHUNK_BYTES_MAX])
        head = _QueryReply(
            found=True,
            started=answer.started,
            ended=answer.ended,
            position=position,
            status=answer.status,
            content_type=answer.content_type,
            headers=answer.headers,
            error=None if answer.error is None else answer.error.body()["error"],
            token=answer.token,
        )
        return msgspec.json.encode(head) + b"\n" + data

    @staticmethod
    async def _wait_until_changed(answer: Answer) -> None:
        try:
            async with asyncio.timeout(LONG_POLL_S):
                await answer.wait_until_changed()
        except TimeoutError:
            return
