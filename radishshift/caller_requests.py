"""Reads and validates the HTTP requests of callers."""

import asyncio
import math
import re
from typing import Any

import msgspec
from aiohttp import web

from radishshift.bounded_listening import HOLD
from radishshift.caller_bounds import CallerBounds
from radishshift.contracts import Contract, TaskClass, key_digest
from radishshift.errors import (
    AuthenticationError,
    BadRequestError,
    DeadlineError,
    HeadersTooLargeError,
    NotAllowedError,
    NotFoundError,
    OverloadedError,
    RequestTimeoutError,
)
from radishshift.requests import ModelRequest, ServiceCall, new_request_id
from radishshift.router import Router
from radishshift.settings import BoundSettings, TimeSettings
from radishshift.verdicts import Verdict

__all__ = [
    "BOUNDS",
    "CONNECTIONS",
    "REQUEST_ID",
    "ROUTER",
    "TIMES",
    "read_contract",
    "read_model_request",
    "read_position",
    "read_request_id",
    "read_service_call",
]

ROUTER = web.AppKey("router", Router)
BOUNDS = web.AppKey("bounds", BoundSettings)
TIMES = web.AppKey("times", TimeSettings)
CONNECTIONS = web.AppKey("connections", CallerBounds)
REQUEST_ID = web.RequestKey("request_id", str)
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
STALLED_RETRY_S = 1.0
MODEL_NAME_MAX = 256
TOKENS_MAX = 1_000_000
FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language")
PROMPT_FIELDS = {"chat/completions": "messages", "completions": "prompt"}


def read_request_id(request: web.Request) -> str:
    """Return the caller's request id, or a new one.

    Raises
    ------
    BadRequestError
    """
    given = request.headers.get("X-Request-Id")
    if given is None:
        return new_request_id()
    if not REQUEST_ID_PATTERN.fullmatch(given):
        raise BadRequestError("X-Request-Id must be 1 to 128 of A-Z a-z 0-9 . _ : -")
    return given


def check_headers(request: web.Request) -> None:
    """Reject headers whose total size is too large.

    Raises
    ------
    HeadersTooLargeError
    """
    size = sum(len(name) + len(value) for name, value in request.raw_headers)
    if size > request.app[BOUNDS].header_bytes:
        raise HeadersTooLargeError("the request headers are too large")


def read_contract(request: web.Request) -> Contract:
    """Return the contract of the customer that the API key belongs to.

    Raises
    ------
    AuthenticationError
    """
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise AuthenticationError(
            "an API key is required as `Authorization: Bearer KEY`"
        )
    contract = request.app[ROUTER].catalogue.by_key_digest.get(key_digest(key))
    if contract is None:
        raise AuthenticationError("the API key belongs to no customer")
    return contract


def _task_class(request: web.Request, name: str) -> TaskClass:
    task_class = request.app[ROUTER].catalogue.task_classes.get(name)
    if task_class is None:
        raise BadRequestError("no such task class")
    return task_class


def _deadline(request: web.Request, task_class: TaskClass, now: float) -> float:
    given = request.headers.get("X-Deadline")
    latest = now + request.app[TIMES].deadline_max_s
    if given is None:
        return min(now + task_class.deadline_s, latest)
    try:
        deadline = float(given)
    except ValueError:
        deadline = math.nan
    if not math.isfinite(deadline):
        raise BadRequestError("X-Deadline must be seconds since the epoch")
    if deadline <= now:
        raise DeadlineError("the deadline has passed", verdict=Verdict.NOT_RUN)
    return min(deadline, latest)


def _idempotency_key(request: web.Request) -> str:
    """Return the idempotency key; without one, a request id of the caller serves."""
    key = request.headers.get("Idempotency-Key")
    if key is None:
        return request.headers.get("X-Request-Id", "")
    if not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise BadRequestError("Idempotency-Key must be 1 to 255 printable characters")
    return key


async def _read_body(request: web.Request) -> bytes:
    loop = asyncio.get_running_loop()
    receive_s = request.app[TIMES].receive_s
    deadline = loop.time() + receive_s
    try:
        return await request[HOLD].read_body(receive_s)
    except RequestTimeoutError as exc:
        if loop.time() < deadline:
            raise OverloadedError(
                "the request body stalled, and its memory was needed",
                retry_after_s=STALLED_RETRY_S,
            ) from exc
        raise DeadlineError(
            "the request body was not received in time", verdict=Verdict.NOT_RUN
        ) from exc


def _read_json(data: bytes) -> dict[str, Any]:
    try:
        body = msgspec.json.decode(data, type=dict[str, Any])
        # The engine gets the body re-encoded, so it must be encodable.
        msgspec.json.encode(body)
    except (ValueError, RecursionError, OverflowError) as exc:
        raise BadRequestError("the request body is not a JSON object in UTF-8") from exc
    return body


def _undecoded(data: bytes, body: dict[str, Any]) -> dict[str, Any]:
    """Return a decoded body with its lists and objects as they were received.

    Decoded, a list of small values takes many times its bytes.
    """
    parts = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    return {
        name: parts[name] if isinstance(value, list | dict) else value
        for name, value in body.items()
    }


def _check_body(body: dict[str, Any], operation: str) -> None:
    model = body.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= MODEL_NAME_MAX:
        raise BadRequestError("`model` must be a string")
    prompt_name = PROMPT_FIELDS[operation]
    prompt = body.get(prompt_name)
    if operation == "chat/completions":
        ok = isinstance(prompt, list) and all(isinstance(part, dict) for part in prompt)
    else:
        ok = isinstance(prompt, list | str)
    if not ok or not prompt:
        raise BadRequestError(
            f"`{prompt_name}` is missing, empty or has the wrong type"
        )
    for name in ("max_tokens", "max_completion_tokens"):
        limit = body.get(name)
        if limit is not None and not (type(limit) is int and 0 < limit <= TOKENS_MAX):
            raise BadRequestError(f"`{name}` must be an integer from 1 to {TOKENS_MAX}")
    if not isinstance(body.get("stream"), bool | None):
        raise BadRequestError("`stream` must be true or false")
    if not isinstance(body.get("stream_options"), dict | None):
        raise BadRequestError("`stream_options` must be an object")


async def read_model_request(request: web.Request, operation: str) -> ModelRequest:
    """Return a model request.

    Raises
    ------
    RadishshiftError
    """
    contract = read_contract(request)
    data = await _read_body(request)
    body = _read_json(data)
    _check_body(body, operation)
    class_name = request.headers.get("X-Task-Class", contract.default_class)
    task_class = _task_class(request, class_name)
    now = request.app[ROUTER].clock.now()
    stream_options = body.get("stream_options") or {}
    return ModelRequest(
        request_id=request[REQUEST_ID],
        contract=contract,
        task_class=task_class,
        operation=operation,
        model=body["model"],
        body=_undecoded(data, body),
        body_bytes=data,
        stream=body.get("stream") is True,
        include_usage=stream_options.get("include_usage") is True,
        arrived=now,
        deadline=_deadline(request, task_class, now),
        idempotency_key=_idempotency_key(request),
        session_token=request.headers.get("X-Session", ""),
        wants_session=request.headers.get("X-New-Session", "") == "1",
    )


async def read_service_call(request: web.Request) -> ServiceCall:
    """Return a call of a plain service.

    Raises
    ------
    RadishshiftError
    """
    contract = read_contract(request)
    router = request.app[ROUTER]
    name = request.match_info["service"]
    service = router.catalogue.services.get(name)
    if service is None:
        raise NotFoundError("no such service")
    if name not in contract.allowed:
        raise NotAllowedError(f"the contract does not allow {name}")
    path = "/" + request.match_info["path"]
    if any(part in (".", "..") for part in path.split("/")):
        raise BadRequestError("the path must not contain . or .. segments")
    route = service.route(request.method, path)
    if route is None:
        raise NotFoundError(f"{name} has no such method and path")
    task_class = _task_class(request, service.task_class)
    now = router.clock.now()
    headers = {
        header: request.headers[header]
        for header in FORWARDED_HEADERS
        if header in request.headers
    }
    request_id = request[REQUEST_ID]
    return ServiceCall(
        request_id=request_id,
        contract=contract,
        task_class=task_class,
        service=name,
        method=request.method,
        path=_path_as_sent(request),
        headers=headers,
        body=await _read_body(request),
        idempotent=route.idempotent,
        arrived=now,
        deadline=_deadline(request, task_class, now),
        idempotency_key=_idempotency_key(request) or request_id,
    )


def _path_as_sent(request: web.Request) -> str:
    """Return the service's path and query, percent-encoded as the caller sent them."""
    _, _, _, _, path = request.rel_url.raw_path.split("/", 4)
    query = request.rel_url.raw_query_string
    return f"/{path}?{query}" if query else f"/{path}"


def read_position(request: web.Request) -> tuple[int, int]:
    """Return how many bytes, or else how many events, of an answer the caller has.

    Raises
    ------
    BadRequestError
    """
    given = request.query.get("from_byte"), request.query.get("from_event")
    if given == (None, None) and "Last-Event-ID" in request.headers:
        last_event_id = _read_count(request.headers["Last-Event-ID"], "Last-Event-ID")
        return 0, last_event_id + 1
    position = _read_count(given[0] or "0", "from_byte")
    return position, _read_count(given[1] or "0", "from_event")


def _read_count(text: str, name: str) -> int:
    if not re.fullmatch(r"[0-9]{1,15}", text):
        raise BadRequestError(f"{name} must be a non-negative integer")
    return int(text)
