"""Answers, stored as they grow, so that a caller can reconnect and resume."""

import asyncio
import secrets
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
CHUNK_BYTES_MAX = 1 << 16
TOKEN_BYTES = 8


@dataclass(slots=True, eq=False)
class Answer:
    """The answer of one request.

    Attributes
    ----------
    request_id, customer : str
    expires_at : float
        Instant after which the host deletes it.
    token : str
        Tells it from the answers of other runs of the request.
    key, fingerprint : str
        Identify a resend of the request; `key` is empty if the caller gave none.
    status : int
    content_type : str
    headers : dict of str to str
    data : bytearray
        Body to send to the caller, as far as it has been received.
    started : bool
        Whether the status and the headers are final.
    ended : bool
    error : RadishshiftError or None
    ended_verdict : Verdict
        Worst verdict of the attempts that have ended.
    attempt_running : bool
        Whether an attempt is in flight.
    store : Answers or None
        Store that counts its bytes; None if it is in none or was removed.
    followed_until : float
        Instant until which another host is taken to follow it.
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
    store: "Answers | None" = None
    followed_until: float = 0.0
    token: str = field(default_factory=lambda: secrets.token_hex(TOKEN_BYTES))
    _waiters: list[asyncio.Future[None]] = field(default_factory=list)
    _followers: list["AnswerSink"] = field(default_factory=list)

    @property
    def size(self) -> int:
        """Return the memory that the answer is counted for, in bytes."""
        return len(self.data) + ANSWER_OVERHEAD_BYTES

    @property
    def verdict(self) -> Verdict:
        """Return whether the request may have run, as far as is known."""
        if self.attempt_running:
            return self.ended_verdict.worst(Verdict.MAY_HAVE_RUN)
        return self.ended_verdict

    def start(self) -> None:
        """Mark the status and the headers as final."""
        self.started = True
        self._wake()

    def append(self, part: bytes) -> None:
        """Append bytes to the body.

        Raises
        ------
        AnswerTooLargeError
        """
        if self.store is not None:
            self.store.reserve_bytes(self, len(part))
        self.data += part
        if self._waiters:
            self._wake()

    def end(self, error: RadishshiftError | None = None) -> None:
        """Mark the answer as complete, or as failed if there is an error."""
        if self.ended:
            return
        self.error = error
        self.ended = True
        if self.store is not None:
            self.store.record_end(self)
        self._wake()

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for fut in waiters:
            if not fut.done():
                fut.set_result(None)

    async def wait_until_changed(self) -> None:
        """Wait until the answer starts, grows or ends."""
        fut = asyncio.get_running_loop().create_future()
        self._waiters.append(fut)
        await fut

    async def wait_until_started(self) -> None:
        """Wait until the status and the headers are final.

        Raises
        ------
        RadishshiftError
            The request failed before that.
        """
        while not self.started:
            if self.ended:
                raise self.error or NotFoundError(f"no answer {self.request_id}")
            await self.wait_until_changed()

    async def read(self, position: int = 0) -> AsyncIterator[bytes]:
        """Yield the body from a byte position until the answer ends."""
        while True:
            while position < len(self.data):
                chunk = bytes(self.data[position : position + CHUNK_BYTES_MAX])
                yield chunk
                position += len(chunk)
            if self.ended:
                return
            await self.wait_until_changed()

    async def replay(self, sink: "AnswerSink", position: int = 0) -> None:
        """Send the answer to a sink: what is there already, then what is added.

        Raises
        ------
        RadishshiftError
            The request failed; the bytes received before that have been sent.
        """
        self._followers.append(sink)
        try:
            await self.wait_until_started()
            await sink.start(self)
            async for chunk in self.read(position):
                await sink.write(chunk)
                if sink.caller_disconnected:
                    return
        finally:
            self._followers.remove(sink)
        if self.error is not None:
            raise self.error

    def is_followed(self, now: float) -> bool:
        """Tell whether a caller receives it that did not start its run."""
        return now < self.followed_until or any(
            not sink.caller_disconnected for sink in self._followers
        )


class AnswerSink(Protocol):
    """Connection to a caller, to which an answer is sent."""

    caller_disconnected: bool

    async def start(self, answer: Answer) -> None:
        """Send the status and the headers."""

    async def write(self, data: bytes) -> None:
        """Send bytes; return when the write buffer has room again."""

    def push(self, data: bytes) -> bool:
        """Send bytes after the first `write`; tell whether the buffer has room."""

    async def drain(self) -> None:
        """Wait until the write buffer has room or the caller counts as disconnected."""


class Answers:
    """Store of the answers of a host, bounded in bytes.

    Parameters
    ----------
    total_bytes_max : int
        Bound on all answers together; ended ones are evicted, the oldest first.
    answer_bytes_max : int
        Bound on each answer.

    Attributes
    ----------
    held_bytes : int
        Memory that all stored answers are counted for.
    dropped : int
        Number of answers evicted before they expired, to make room.
    refused : int
        Number of answers refused or truncated because a bound was reached.
    """

    def __init__(
        self, total_bytes_max: int, answer_bytes_max: int = ANSWER_BYTES_MAX
    ) -> None:
        self.answer_bytes_max = answer_bytes_max
        self.held_bytes = 0
        self.dropped = 0
        self.refused = 0
        self._total_bytes_max = total_bytes_max
        self._answers: dict[tuple[str, str], Answer] = {}
        self._by_key: dict[tuple[str, str], Answer] = {}
        self._ended: dict[tuple[str, str], Answer] = {}
        self._ended_bytes = 0

    def __len__(self) -> int:
        return len(self._answers)

    @property
    def _running_bytes(self) -> int:
        """Return the memory that is used even after all ended answers are evicted."""
        return self.held_bytes - self._ended_bytes

    def open(
        self,
        request_id: str,
        customer: str,
        expires_at: float,
        key: str = "",
        fingerprint: str = "",
    ) -> Answer:
        """Create and store a new answer.

        Raises
        ------
        OverloadedError
            Answers that have not ended use all of the memory.
        """
        name = (customer, request_id)
        if name in self._answers:
            self._remove(self._answers[name])
        if self._running_bytes + ANSWER_OVERHEAD_BYTES > self._total_bytes_max:
            self.refused += 1
            raise OverloadedError(
                "running answers use all of the memory for answers", retry_after_s=1.0
            )
        self._evict_ended(ANSWER_OVERHEAD_BYTES)
        answer = Answer(request_id, customer, expires_at, key, fingerprint, store=self)
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
        """Return the answer of an earlier request with the same key or id, if any.

        An answer that failed is not returned.

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

    def reserve_bytes(self, answer: Answer, added_bytes: int) -> None:
        """Reserve memory for bytes that will be appended to an answer.

        Raises
        ------
        AnswerTooLargeError
        """
        if len(answer.data) + added_bytes > self.answer_bytes_max:
            self.refused += 1
            raise AnswerTooLargeError("the answer exceeds the size limit for answers")
        if self._running_bytes + added_bytes > self._total_bytes_max:
            self.refused += 1
            raise AnswerTooLargeError(
                "the stored answers use all of the memory for answers"
            )
        self._evict_ended(added_bytes)
        self.held_bytes += added_bytes

    def record_end(self, answer: Answer) -> None:
        """Record that an answer has ended and may be evicted."""
        name = (answer.customer, answer.request_id)
        if self._answers.get(name) is answer:
            self._ended[name] = answer
            self._ended_bytes += answer.size

    def fail(self, answer: Answer, error: RadishshiftError) -> None:
        """End an answer with an error; remove it if the request did not run."""
        answer.end(error)
        name = (answer.customer, answer.request_id)
        if error.verdict is Verdict.NOT_RUN and self._answers.get(name) is answer:
            self._remove(answer)

    def drop_expired(self, now: float) -> None:
        """Remove ended answers that have expired, starting with the first to end."""
        while self._ended:
            oldest = next(iter(self._ended.values()))
            if oldest.expires_at > now:
                return
            self._remove(oldest)

    def _evict_ended(self, added_bytes: int) -> None:
        while self._ended and self.held_bytes + added_bytes > self._total_bytes_max:
            self.dropped += 1
            self._remove(next(iter(self._ended.values())))

    def _remove(self, answer: Answer) -> None:
        name = (answer.customer, answer.request_id)
        del self._answers[name]
        if self._ended.pop(name, None) is not None:
            self._ended_bytes -= answer.size
        self.held_bytes -= answer.size
        answer.store = None
        if self._by_key.get((answer.customer, answer.key)) is answer:
            del self._by_key[answer.customer, answer.key]
