"""Requests, attempts and answers as the caller side and endpoint side exchange them."""

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
    "EndpointNotices",
    "HeaderList",
    "ProbeOutcome",
    "PromptPart",
]

HeaderList = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share, and its token count."""

    digest: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request received from a caller.

    Attributes
    ----------
    request_id : str
        Unique; a retry by the caller has a new one.
    method, host, target : str
        `target` is the path and query as sent.
    headers : tuple of pairs
        Headers to forward, without hop-by-hop headers and the system's own.
    deadline : float
        Instant until which the caller waits.
    received_at : float
        Instant at which the request was read.
    key : str
        API key of the customer, or empty.
    session : str
        Identifies the requests of one session, or empty.
    prompt_tokens, answer_tokens : int
        Sizes stated by the caller, 0 if missing; the answer's size is an estimate.
    parts : sequence of PromptPart
        In the order of the prompt; the last is specific to this request.
    last_event_id : str
        Event after which to resume a broken stream, or empty.
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
        Customer name to send to the endpoint, or empty.
    deadline : float
        Instant at which the endpoint must stop working.
    model : str
        Model chosen by the router; empty keeps the caller's choice.
    last_event_id : str
        Event after which to resume the stream, or empty.
    """

    req: CallerRequest
    member: Member
    customer: str
    deadline: float
    model: str = ""
    last_event_id: str = ""


class EndpointAnswer:
    """An answer whose status and headers have been received.

    Attributes
    ----------
    status : int
    headers : tuple of pairs
        Headers to forward to the caller.
    signed : bool
        Whether the answer carries the endpoint's signature.
    confidence : float or None
        The model's confidence in its answer, 0 to 100.
    """

    status: int
    headers: HeaderList
    signed: bool
    confidence: float | None

    async def read(self) -> bytes:
        """Read the complete body.

        Raises
        ------
        StreamBrokenError
        """
        raise NotImplementedError

    async def chunk(self) -> bytes:
        """Return the received bytes, waiting for at least one; empty at the end.

        Raises
        ------
        StreamBrokenError
        """
        raise NotImplementedError

    def buffered_bytes(self) -> bytes:
        """Return the bytes received since the last `chunk`, without waiting."""
        raise NotImplementedError

    def abort(self) -> None:
        """Close the connection, which cancels the work at the endpoint."""
        raise NotImplementedError


class ProbeOutcome(enum.Enum):
    """Result of a connection probe."""

    OPENED = "opened"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class EndpointNotices:
    """Receives what endpoints say of themselves in the heads of their answers."""

    def limits(
        self, member: Member, per_s: float | None, refusals_per_s: int | None
    ) -> None:
        """Receive the requests per second to which it limits all hosts together.

        It is called for each answer, with None if the answer states no limit, and with
        the requests that a brittle endpoint may refuse within a second.
        """

    def pauses(self, member: Member, pause_s: float) -> None:
        """Receive for how long it wants nothing from this host."""

    def leaves(self, member: Member) -> None:
        """Receive that it is leaving and takes no new requests."""


class EndpointClient:
    """Sends attempts to endpoints.

    Attributes
    ----------
    notices : EndpointNotices
    """

    notices = EndpointNotices()

    async def send(self, order: AttemptOrder) -> EndpointAnswer:
        """Send an attempt and return the answer once its headers are received.

        Raises
        ------
        EndpointError
            Its verdict tells whether the attempt may have run.
        """
        raise NotImplementedError

    async def probe(self, member: Member) -> ProbeOutcome:
        """Try to open a connection to an endpoint and return the outcome."""
        raise NotImplementedError

    def forget(self, member: Member) -> None:
        """Close the idle connections to a removed endpoint."""

    async def close(self) -> None:
        """Close all connections."""


class CallerAnswer:
    """Sends the answer to one request back to the caller.

    Attributes
    ----------
    started : bool
        Whether the caller may have received the status and headers.
    """

    started: bool = False

    async def send(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete answer."""
        raise NotImplementedError

    async def start(self, status: int, headers: HeaderList) -> None:
        """Begin a streamed answer, whose length is not known."""
        raise NotImplementedError

    async def write(self, data: bytes) -> None:
        """Send a chunk of a streamed answer."""
        raise NotImplementedError

    async def finish(self) -> None:
        """Mark a streamed answer as complete."""
        raise NotImplementedError

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete answer."""
        raise NotImplementedError
