"""Answers as they grow, held so that a caller can come back for them."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

from radishshift.errors import NotFoundError, RadishshiftError

__all__ = ["Answer", "AnswerSink", "Answers"]


@dataclass(slots=True)
class Answer:
    """The answer of one request.

    Attributes
    ----------
    request_id, customer : str
    kept_until : float
        Instant after which the host forgets it.
    status : int
    content_type : str
    headers : dict of str to str
    parts : list of bytes
    ended : bool
    error : RadishshiftError or None
    """

    request_id: str
    customer: str
    kept_until: float
    status: int = 200
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    parts: list[bytes] = field(default_factory=list)
    size: int = 0
    ended: bool = False
    error: RadishshiftError | None = None
    _grown: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, part: bytes) -> None:
        """Add bytes that the caller is to get."""
        self.parts.append(part)
        self.size += len(part)
        self._grown.set()

    def end(self, error: RadishshiftError | None = None) -> None:
        """Mark the answer as whole, or as failed."""
        self.error = error
        self.ended = True
        self._grown.set()

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the answer from its start until it ends."""
        position = 0
        while True:
            while position < len(self.parts):
                yield self.parts[position]
                position += 1
            if self.ended:
                return
            self._grown.clear()
            await self._grown.wait()


class AnswerSink(Protocol):
    """Where an answer goes while its caller is there."""

    async def start(self, answer: Answer) -> None:
        """Send the status and the headers."""

    async def write(self, data: bytes) -> None:
        """Send a part; returns when there is room for the next."""


class Answers:
    """Answers that a host holds.

    Parameters
    ----------
    bound_bytes : int
        Bound on all ended answers together; the oldest go first.
    """

    def __init__(self, bound_bytes: int) -> None:
        self._bound_bytes = bound_bytes
        self._answers: dict[str, Answer] = {}

    def open(self, request_id: str, customer: str, kept_until: float) -> Answer:
        """Return a new answer that is held."""
        answer = Answer(request_id, customer, kept_until)
        self._answers[request_id] = answer
        return answer

    def find(self, request_id: str, customer: str) -> Answer:
        """Return a customer's answer.

        Raises
        ------
        NotFoundError
            There is none, or it is another customer's.
        """
        answer = self._answers.get(request_id)
        if answer is None or answer.customer != customer:
            raise NotFoundError(f"no answer {request_id}")
        return answer

    def trim(self, now: float) -> None:
        """Forget what is past its time or over the bound."""
        held = sum(answer.size for answer in self._answers.values())
        for request_id, answer in list(self._answers.items()):
            if not answer.ended:
                continue
            if answer.kept_until <= now or held > self._bound_bytes:
                held -= answer.size
                del self._answers[request_id]
