"""Answers as they grow, held so that a caller can come back for them."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

from radishshift.errors import (
    AnswerTooLargeError,
    KeyReusedError,
    NotFoundError,
    OverloadedError,
    RadishshiftError,
)
from radishshift.verdicts import Verdict

__all__ = ["Answer", "AnswerSink", "Answers"]

ANSWER_OVERHEAD_BYTES = 1024
ANSWER_BYTES_MAX = 4_000_000
PIECE_BYTES = 1 << 16


@dataclass(slots=True, eq=False)
class Answer:
    """The answer of one request.

    Attributes
    ----------
    request_id, customer : str
    expires_at : float
        Instant after which the host forgets it.
    key, fingerprint : str
        By which a resend of the request is known; empty if the caller gave no key.
    status : int
    content_type : str
    headers : dict of str to str
    data : bytearray
        What the caller is to get.
    started : bool
        Whether the status and the headers are settled.
    ended : bool
    error : RadishshiftError or None
    ended_verdict : Verdict
        Whether any attempt that has ended did run.
    attempt_running : bool
        Whether an attempt is under way.
    """

    request_id: str
    customer: str
    expires_at: float
    key: str = ""
    fingerprint: str = ""
    status: int = 200
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    data: bytearray = field(default_factory=bytearray)
    started: bool = False
    ended: bool = False
    error: RadishshiftError | None = None
    ended_verdict: Verdict = Verdict.NOT_RUN
    attempt_running: bool = False
    holder: "Answers | None" = None
    _waiters: list[asyncio.Future[None]] = field(default_factory=list)

    @property
    def size(self) -> int:
        """Return the bytes that the answer takes up."""
        return len(self.data) + ANSWER_OVERHEAD_BYTES

    @property
    def verdict(self) -> Verdict:
        """Return whether the request may have run so far."""
        if self.attempt_running:
            return self.ended_verdict.worst(Verdict.MAY_HAVE_RUN)
        return self.ended_verdict

    def start(self) -> None:
        """Note that the status and the headers are settled."""
        self.started = True
        self._wake()

    def append(self, part: bytes) -> None:
        """Add bytes that the caller is to get.

        Raises
        ------
        AnswerTooLargeError
        """
        if self.holder is not None:
            self.holder.make_room(self, len(part))
        self.data += part
        if self._waiters:
            self._wake()

    def end(self, error: RadishshiftError | None = None) -> None:
        """Mark the answer as whole, or as failed."""
        if self.ended:
            return
        self.error = error
        self.ended = True
        if self.holder is not None:
            self.holder.note_end(self)
        self._wake()

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for fut in waiters:
            if not fut.done():
                fut.set_result(None)

    async def until_changed(self) -> None:
        """Return once the answer has started, grown or ended."""
        fut = asyncio.get_running_loop().create_future()
        self._waiters.append(fut)
        await fut

    async def until_started(self) -> None:
        """Return once the status is settled.

        Raises
        ------
        RadishshiftError
            The request failed before that.
        """
        while not self.started:
            if self.ended:
                raise self.error or NotFoundError(f"no answer {self.request_id}")
            await self.until_changed()

    async def read(self, position: int = 0) -> AsyncIterator[bytes]:
        """Yield the answer from a position until it ends."""
        while True:
            while position < len(self.data):
                piece = bytes(self.data[position : position + PIECE_BYTES])
                yield piece
                position += len(piece)
            if self.ended:
                return
            await self.until_changed()

    async def replay(self, sink: "AnswerSink", position: int = 0) -> None:
        """Send the answer, as far as it has come and as it grows, to a sink.

        Raises
        ------
        RadishshiftError
            The request failed; what came before that has been sent.
        """
        await self.until_started()
        await sink.start(self)
        async for piece in self.read(position):
            await sink.write(piece)
            if sink.caller_disconnected:
                return
        if self.error is not None:
            raise self.error


class AnswerSink(Protocol):
    """Where an answer goes while its caller is there."""

    caller_disconnected: bool

    async def start(self, answer: Answer) -> None:
        """Send the status and the headers."""

    async def write(self, data: bytes) -> None:
        """Send a part; returns when there is room for the next."""

    def push(self, data: bytes) -> bool:
        """Send a part after the first; False if there is no room for the next."""

    async def drain(self) -> None:
        """Return when there is room, or when the caller is taken as gone."""


class Answers:
    """Answers that a host holds.

    Parameters
    ----------
    bound_bytes : int
        Bound on all answers together; the oldest that ended go first.
    answer_bytes : int
        Bound on each.

    Attributes
    ----------
    held_bytes : int
        What all answers take up now.
    dropped : int
        Answers that went before their time, to make room.
    refused : int
        Answers that were refused or cut because there was no room.
    """

    def __init__(self, bound_bytes: int, answer_bytes: int = ANSWER_BYTES_MAX) -> None:
        self.answer_bytes = answer_bytes
        self.held_bytes = 0
        self.dropped = 0
        self.refused = 0
        self._bound_bytes = bound_bytes
        self._answers: dict[tuple[str, str], Answer] = {}
        self._by_key: dict[tuple[str, str], Answer] = {}
        self._ended: dict[tuple[str, str], Answer] = {}

    def __len__(self) -> int:
        return len(self._answers)

    def open(
        self,
        request_id: str,
        customer: str,
        expires_at: float,
        key: str = "",
        fingerprint: str = "",
    ) -> Answer:
        """Return a new answer that is held.

        Raises
        ------
        OverloadedError
            Answers that have not ended fill the bound.
        """
        name = (customer, request_id)
        if name in self._answers:
            self._forget(self._answers[name])
        self._drop_ended(ANSWER_OVERHEAD_BYTES)
        if self.held_bytes + ANSWER_OVERHEAD_BYTES > self._bound_bytes:
            self.refused += 1
            raise OverloadedError("running answers fill the host", retry_after_s=1.0)
        answer = Answer(request_id, customer, expires_at, key, fingerprint, holder=self)
        self._answers[name] = answer
        if key:
            self._by_key[customer, key] = answer
        self.held_bytes += answer.size
        return answer

    def find(self, request_id: str, customer: str) -> Answer:
        """Return a customer's answer.

        Raises
        ------
        NotFoundError
            There is none, or it is another customer's.
        """
        answer = self._answers.get((customer, request_id))
        if answer is None:
            raise NotFoundError(f"no answer {request_id}")
        return answer

    def find_resent(
        self, customer: str, request_id: str, key: str, fingerprint: str
    ) -> Answer | None:
        """Return the answer of an earlier sending that runs or went well, or None.

        Raises
        ------
        KeyReusedError
            The key or the request id was used for another request.
        """
        by_id = self._answers.get((customer, request_id))
        answer = (self._by_key.get((customer, key)) if key else None) or by_id
        if answer is None:
            return None
        if answer.fingerprint != fingerprint:
            raise KeyReusedError("the key or request id was used for another request")
        return None if answer.error is not None else answer

    def make_room(self, answer: Answer, added: int) -> None:
        """Account for bytes that an answer is about to grow by.

        Raises
        ------
        AnswerTooLargeError
        """
        if len(answer.data) + added > self.answer_bytes:
            self.refused += 1
            raise AnswerTooLargeError("the answer is over the bound on answers")
        if self.held_bytes + added > self._bound_bytes:
            self._drop_ended(added)
            if self.held_bytes + added > self._bound_bytes:
                self.refused += 1
                raise AnswerTooLargeError("the answers held fill the host")
        self.held_bytes += added

    def note_end(self, answer: Answer) -> None:
        """Note that an answer may now be dropped to make room."""
        name = (answer.customer, answer.request_id)
        if self._answers.get(name) is answer:
            self._ended[name] = answer

    def fail(self, answer: Answer, error: RadishshiftError) -> None:
        """End an answer by an error; one of a request that did not run is not kept."""
        answer.end(error)
        name = (answer.customer, answer.request_id)
        if error.verdict is Verdict.NOT_RUN and self._answers.get(name) is answer:
            self._forget(answer)

    def drop_expired(self, now: float) -> None:
        """Forget what is past its time."""
        while self._ended:
            oldest = next(iter(self._ended.values()))
            if oldest.expires_at > now:
                return
            self._forget(oldest)

    def _drop_ended(self, added: int) -> None:
        while self._ended and self.held_bytes + added > self._bound_bytes:
            self.dropped += 1
            self._forget(next(iter(self._ended.values())))

    def _forget(self, answer: Answer) -> None:
        name = (answer.customer, answer.request_id)
        del self._answers[name]
        self._ended.pop(name, None)
        self.held_bytes -= answer.size
        answer.holder = None
        if self._by_key.get((answer.customer, answer.key)) is answer:
            del self._by_key[answer.customer, answer.key]
