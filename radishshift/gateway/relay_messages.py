"""Messages by which a host has an attempt relayed by a peer.

The order is a JSON object. The reply is a line of JSON, the head, and the bytes of the
answer's body as the endpoint sends them; a connection that ends early breaks it off.
Header values may hold bytes that are no UTF-8; JSON carries them as escaped surrogates.
"""

import json
from dataclasses import replace
from typing import Annotated, Any, TypeVar

import msgspec

from radishshift.gateway.attempts import Attempt
from radishshift.gateway.deployment import Customer, Member, Route
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import CallerRequest, HeaderList

__all__ = [
    "HEAD_END",
    "RelayHead",
    "RelayOrder",
    "decode_message",
    "encode_message",
    "plain_headers",
    "relay_order",
]

HEAD_END = b"\n"
# Subtracted from the time left, for the way to the peer and back.
RELAY_WAY_S = 0.02
MAX_LEFT_S = 86_400.0  # longer than any route's timeout

Message = TypeVar("Message", bound=msgspec.Struct)


class RelayOrder(msgspec.Struct, omit_defaults=True):
    """An attempt to be made at an endpoint that the peer chooses.

    Attributes
    ----------
    sender : str
        Host that has the request.
    req : CallerRequest
        Without the caller's key, and with instants that mean nothing to the peer.
    route : Route
        With no regions for all, as a request that may run in none is not relayed.
    left_s : float
        Time until the peer must have the whole answer, in seconds.
    model, last_event_id : str
        Of the attempt; those of `req` are the caller's.
    version : str
        Version that the endpoint must run, or empty for any.
    used, failed : list of str
        As in `Job`.
    may_retry : bool
        Whether the sender may make another attempt if this one is given up.
    """

    sender: str
    req: CallerRequest
    route: Route
    service: str
    left_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_LEFT_S)]
    customer: str = ""
    model: str = ""
    last_event_id: str = ""
    version: str = ""
    used: list[str] = []
    failed: list[str] = []
    may_have_run: bool = False
    may_retry: bool = True

    def job(self, now: float) -> Job:
        """Return the job of the attempt, as the sender decided it."""
        deadline = now + self.left_s
        return Job(
            replace(self.req, deadline=deadline, received_at=now),
            replace(self.route, regions=self.route.regions or None),
            self.service,
            Customer(self.customer) if self.customer else None,
            deadline,
            version=self.version,
            used_endpoints=list(self.used),
            failed_endpoints=list(self.failed),
            may_have_run=self.may_have_run,
        )


class RelayHead(msgspec.Struct, omit_defaults=True):
    """What a peer knows of an attempt before the body of its answer.

    Attributes
    ----------
    endpoint : str
        Empty if no endpoint was chosen.
    request_id : str
        The request's; empty from a peer of an earlier release.
    status : int
        0 if the attempt failed.
    error : dict
        The `error` object of `RadishshiftError.body`, empty if the attempt succeeded.
    """

    endpoint: str = ""
    version: str = ""
    data_centre: str = ""
    born_ms: int = 0
    status: int = 0
    headers: list[tuple[str, str]] = []
    signed: bool = False
    confidence: float | None = None
    error: dict[str, Any] = {}
    request_id: str = ""

    def member(self, service: str) -> Member | None:
        """Return the endpoint, whose address only the peer needs."""
        if not self.endpoint:
            return None
        return Member(
            name=self.endpoint,
            service=service,
            address="",
            data_centre=self.data_centre,
            version=self.version,
            slots=0,
            born_ms=self.born_ms,
        )

    def header_list(self) -> HeaderList:
        """Return the headers of the answer."""
        return tuple(self.headers)


def relay_order(
    sender: str, attempt: Attempt, last_event_id: str, may_retry: bool, now: float
) -> RelayOrder:
    """Return the order for an attempt."""
    job = attempt.job
    req = job.req
    used = list(job.used_endpoints)
    if attempt.first_at_endpoint:
        used.remove(attempt.member.name)  # stands for the endpoint, not chosen yet
    return RelayOrder(
        sender=sender,
        req=replace(req, key="", headers=tuple(plain_headers(req.headers))),
        route=replace(job.route, regions=tuple(sorted(job.regions or ()))),
        service=job.service,
        left_s=round(max(0.0, job.deadline - now - RELAY_WAY_S), 4),
        customer="" if job.customer is None else job.customer.name,
        model=attempt.model,
        last_event_id=last_event_id,
        version=job.version,
        used=used,
        failed=list(job.failed_endpoints),
        may_have_run=job.may_have_run,
        may_retry=may_retry,
    )


def plain_headers(headers: HeaderList) -> list[tuple[str, str]]:
    """Return headers whose names are of the type `str`, not of one derived from it."""
    return [(str(name), value) for name, value in headers]


def encode_message(message: msgspec.Struct) -> bytes:
    """Return a message as a line of ASCII JSON, without the end of the line."""
    return json.dumps(msgspec.to_builtins(message), separators=(",", ":")).encode()


def decode_message(data: bytes, message_type: type[Message]) -> Message:
    """Return the message of a JSON text.

    Raises
    ------
    msgspec.DecodeError
    """
    try:
        return msgspec.convert(json.loads(data), message_type)
    except (ValueError, RecursionError) as exc:
        raise msgspec.DecodeError(f"no valid {message_type.__name__}: {exc}") from exc
