"""Messages by which a host has an attempt relayed by a peer.

The order is a JSON object. The reply is a line of JSON, the head, and the bytes of the
answer's body as the endpoint sends them; a connection that ends early breaks it off.
Header values may hold bytes that are no UTF-8; JSON carries them as escaped surrogates.
"""

import json
from typing import Any, TypeVar

import msgspec

from radishshift.gateway.attempts import Attempt
from radishshift.gateway.deployment import Member, Route, RouteKind
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import CallerRequest, HeaderList, PromptPart

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

Message = TypeVar("Message", bound=msgspec.Struct)


class RelayOrder(msgspec.Struct, omit_defaults=True):
    """An attempt to be made at an endpoint that the peer chooses.

    Attributes
    ----------
    sender : str
        Host that has the request.
    left_s : float
        Time until the peer must have the whole answer, in seconds.
    kind : str
        Value of `RouteKind`.
    model, last_event_id : str
        Of the attempt; `request_model` is the caller's.
    version : str
        Version that the endpoint must run, or empty for any.
    used, failed : list of str
        As in `Job`.
    """

    sender: str
    request_id: str
    method: str
    host: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    left_s: float
    service: str
    route: str
    kind: str
    endpoints_max: int
    resumable: bool
    objective_s: float
    customer: str = ""
    session: str = ""
    request_model: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    parts: list[tuple[str, int]] = []
    model: str = ""
    last_event_id: str = ""
    version: str = ""
    used: list[str] = []
    failed: list[str] = []
    may_have_run: bool = False

    def job(self, now: float) -> Job:
        """Return the job of the attempt, as the sender decided it."""
        req = CallerRequest(
            request_id=self.request_id,
            method=self.method,
            host=self.host,
            target=self.target,
            headers=tuple(self.headers),
            body=self.body,
            deadline=now + self.left_s,
            received_at=now,
            session=self.session,
            model=self.request_model,
            prompt_tokens=self.prompt_tokens,
            answer_tokens=self.answer_tokens,
            parts=tuple(PromptPart(*part) for part in self.parts),
        )
        route = Route(
            name=self.route,
            host=self.host,
            prefix="",
            kind=RouteKind(self.kind),
            shares=(),
            timeout_s=self.left_s,
            objective_s=self.objective_s,
            endpoints_max=self.endpoints_max,
            resumable=self.resumable,
        )
        return Job.relayed(
            req,
            route,
            self.service,
            self.customer,
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
    sender: str, attempt: Attempt, last_event_id: str, now: float
) -> RelayOrder:
    """Return the order for an attempt."""
    job = attempt.job
    req = job.req
    used = list(job.used_endpoints)
    if attempt.first_at_endpoint:
        used.remove(attempt.member.name)  # stands for the endpoint, not chosen yet
    route = job.route
    return RelayOrder(
        sender=sender,
        request_id=req.request_id,
        method=req.method,
        host=req.host,
        target=req.target,
        headers=plain_headers(req.headers),
        body=req.body,
        left_s=round(max(0.0, job.deadline - now - RELAY_WAY_S), 4),
        service=job.service,
        route=route.name,
        kind=route.kind.value,
        endpoints_max=route.endpoints_max,
        resumable=route.resumable,
        objective_s=route.objective_s,
        customer="" if job.customer is None else job.customer.name,
        session=req.session,
        request_model=req.model,
        prompt_tokens=req.prompt_tokens,
        answer_tokens=req.answer_tokens,
        parts=[(part.digest, part.tokens) for part in req.parts],
        model=attempt.model,
        last_event_id=last_event_id,
        version=job.version,
        used=used,
        failed=list(job.failed_endpoints),
        may_have_run=job.may_have_run,
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
    except ValueError as exc:
        raise msgspec.DecodeError(f"no valid {message_type.__name__}: {exc}") from exc
