"""Requests, attempts and answers between the two borders of a host."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from radishshift.gateway.deployment import Member

__all__ = [
    "AttemptOrder",
    "CallerAnswer",
    "CallerRequest",
    "EndpointAnswer",
    "EndpointClient",
    "HeaderList",
    "ProbeOutcome",
    "PromptPart",
]

HeaderList = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share, and its tokens."""

    digest: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request as it came from a caller.

    Attributes
    ----------
    request_id : str
        One for each try of the caller.
    method, host, target : str
        `target` is path and query as sent.
    headers : tuple of pairs
        What is passed on; neither those of one connection nor the system's own.
    deadline : float
        Instant until which the caller waits.
    received_at : float
        Instant at which it was read.
    key : str
        Customer's key, or empty.
    session : str
        Names the requests that belong together, or empty.
    prompt_tokens, answer_tokens : int
        Size as stated, 0 if not; the answer's is the caller's estimate.
    parts : sequence of PromptPart
        In the order of the prompt; the last belongs to this request alone.
    last_event_id : str
        Event after which a broken stream is to go on, or empty.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: HeaderList
    body: bytes
    deadline: float
    received_at: float
    key: str = ""
    session: str = ""
    model: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    parts: Sequence[PromptPart] = ()
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class AttemptOrder:
    """One attempt of a request at one endpoint.

    Attributes
    ----------
    req : CallerRequest
    member : Member
    customer : str
        Name to pass on, or empty.
    deadline : float
        Instant at which the endpoint is to stop.
    model : str
        Model chosen by this system; empty leaves the caller's.
    last_event_id : str
        Event after which the stream goes on, or empty.
    """

    req: CallerRequest
    member: Member
    customer: str
    deadline: float
    model: str = ""
    last_event_id: str = ""


class EndpointAnswer:
    """An answer whose head has come.

    Attributes
    ----------
    status : int
    headers : tuple of pairs
        What is passed on to the caller.
    signed : bool
        Whether the endpoint vouches for it.
    confidence : float or None
        The model's opinion of its answer, 0 to 100.
    """

    status: int
    headers: HeaderList
    signed: bool
    confidence: float | None

    async def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        StreamBrokenError
        """
        raise NotImplementedError

    async def chunk(self) -> bytes:
        """Return what has come, waiting for at least a byte; empty at the end.

        Raises
        ------
        StreamBrokenError
        """
        raise NotImplementedError

    def buffered_bytes(self) -> bytes:
        """Return what has come since, without waiting."""
        raise NotImplementedError

    def abort(self) -> None:
        """Close the connection, which ends the work at the endpoint."""
        raise NotImplementedError


class ProbeOutcome(enum.Enum):
    """What came of an attempt to open a connection."""

    OPENED = "opened"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class EndpointClient:
    """Sends attempts to endpoints."""

    async def send(self, order: AttemptOrder) -> EndpointAnswer:
        """Send an attempt and return the answer once its head has come.

        Raises
        ------
        EndpointError
            Its verdict says whether the attempt may have run.
        """
        raise NotImplementedError

    async def probe(self, member: Member) -> ProbeOutcome:
        """Try to open a connection to an endpoint; return what came of it."""
        raise NotImplementedError

    def forget(self, member: Member) -> None:
        """Close the idle connections to an endpoint that is gone."""

    async def close(self) -> None:
        """Close all connections."""


class CallerAnswer:
    """Where the answer to one request goes.

    Attributes
    ----------
    started : bool
        Whether the caller may have got the head.
    """

    started: bool = False

    async def send(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer."""
        raise NotImplementedError

    async def start(self, status: int, headers: HeaderList) -> None:
        """Begin an answer whose length is not known."""
        raise NotImplementedError

    async def write(self, data: bytes) -> None:
        """Send a part of it."""
        raise NotImplementedError

    async def finish(self) -> None:
        """Mark the answer as complete."""
        raise NotImplementedError

    def abort(self) -> None:
        """Close the connection, so that the answer doesn't look complete."""
        raise NotImplementedError
