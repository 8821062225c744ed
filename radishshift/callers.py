"""The API for callers: OpenAI-compatible paths and routed plain services."""

import asyncio
import hashlib
import math
from collections.abc import Awaitable, Callable
from typing import Any

import logbook
import msgspec
from aiohttp import web

from radishshift.answers import Answer
from radishshift.contracts import Contract, TaskClass
from radishshift.errors import (
    AuthenticationError,
    BadRequestError,
    InternalError,
    NotAllowedError,
    NotFoundError,
    RadishshiftError,
    TooLargeError,
)
from radishshift.requests import ModelRequest, ServiceCall, new_request_id
from radishshift.router import Router
from radishshift.settings import BoundSettings

__all__ = ["make_caller_app"]

ROUTER = web.AppKey("router", Router)
REQUEST_ID = web.RequestKey("request_id", str)
REQUEST_ID_BYTES_MAX = 128
PASSED_ON_HEADERS = ("Content-Type", "Accept", "Accept-Language")

logger = logbook.Logger("callers")


class _CallerSink:
    """Sends an answer to the caller for as long as it is there."""

    def __init__(self, request: web.Request) -> None:
        self._request = request
        self.resp: web.StreamResponse | None = None
        self._gone = False

    async def start(self, answer: Answer) -> None:
        """Send the status and the headers."""
        self.resp = web.StreamResponse(status=answer.status, headers=answer.headers)
        self.resp.content_type = answer.content_type
        try:
            await self.resp.prepare(self._request)
        except ConnectionError:
            self._gone = True

    async def write(self, data: bytes) -> None:
        """Send a part; a caller that has hung up is passed over."""
        if self._gone or self.resp is None:
            return
        try:
            await self.resp.write(data)
        except ConnectionError:
            self._gone = True


def _error_response(exc: RadishshiftError, request_id: str) -> web.Response:
    headers = {
        "X-Request-Id": request_id,
        "X-Radishshift-Verdict": exc.verdict.value,
        # The official client repeats some statuses by itself; the verdict decides.
        "X-Should-Retry": "true" if exc.verdict.safe_to_repeat else "false",
    }
    if exc.status in (400, 401, 403, 404, 410, 413, 422):
        headers["X-Should-Retry"] = "false"
    if exc.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(exc.retry_after_s))
    body = msgspec.json.encode(exc.body(request_id))
    return web.Response(
        status=exc.status, headers=headers, body=body, content_type="application/json"
    )


def _request_id(request: web.Request) -> str:
    given = request.headers.get("X-Request-Id", "")
    if given and len(given) <= REQUEST_ID_BYTES_MAX and given.isprintable():
        return given
    return new_request_id()


@web.middleware
async def _errors_as_json(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    request_id = _request_id(request)
    request[REQUEST_ID] = request_id
    try:
        return await handler(request)
    except RadishshiftError as exc:
        logger.info("{}: {}", exc.code, exc.message, extra={"request_id": request_id})
        return _error_response(exc, request_id)
    except web.HTTPRequestEntityTooLarge:
        return _error_response(TooLargeError("the body is too large"), request_id)
    except web.HTTPException as exc:
        error: RadishshiftError = BadRequestError(exc.reason)
        if exc.status == 404:
            error = NotFoundError("no such path")
        return _error_response(error, request_id)
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception:
        logger.exception("internal error", extra={"request_id": request_id})
        return _error_response(InternalError("internal error"), request_id)


def _contract(request: web.Request) -> Contract:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise AuthenticationError("a key is needed as `Authorization: Bearer KEY`")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    contract = request.app[ROUTER].catalogue.by_key_digest.get(digest)
    if contract is None:
        raise AuthenticationError("the key belongs to no customer")
    return contract


def _task_class(request: web.Request, name: str) -> TaskClass:
    task_class = request.app[ROUTER].catalogue.classes.get(name)
    if task_class is None:
        raise BadRequestError(f"no task class {name}")
    return task_class


def _deadline(request: web.Request, task_class: TaskClass, now: float) -> float:
    given = request.headers.get("X-Deadline")
    if given is None:
        return now + task_class.deadline_s
    try:
        deadline = float(given)
    except ValueError:
        deadline = math.nan
    if not math.isfinite(deadline):
        raise BadRequestError("X-Deadline must be seconds since the epoch")
    return deadline


def _read_json(data: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise BadRequestError(f"the body is not a JSON object: {exc}") from exc


async def _model_request(request: web.Request, operation: str) -> ModelRequest:
    contract = _contract(request)
    data = await request.read()
    body = _read_json(data)
    model = body.get("model")
    if not isinstance(model, str):
        raise BadRequestError("`model` must be a string")
    wanted = "messages" if operation == "chat/completions" else "prompt"
    if not isinstance(body.get(wanted), list | str) or not body[wanted]:
        raise BadRequestError(f"`{wanted}` is missing or empty")
    stream_options = body.get("stream_options") or {}
    if not isinstance(stream_options, dict):
        raise BadRequestError("`stream_options` must be an object")
    class_name = request.headers.get("X-Task-Class", contract.default_class)
    task_class = _task_class(request, class_name)
    now = request.app[ROUTER].clock.now()
    return ModelRequest(
        request_id=request[REQUEST_ID],
        contract=contract,
        task_class=task_class,
        operation=operation,
        model=model,
        body=body,
        body_bytes=data,
        stream=body.get("stream") is True,
        include_usage=stream_options.get("include_usage") is True,
        arrived=now,
        deadline=_deadline(request, task_class, now),
        idempotency_key=request.headers.get("Idempotency-Key", ""),
        session_token=request.headers.get("X-Session", ""),
        wants_session=request.headers.get("X-New-Session", "") == "1",
    )


async def _run_model(request: web.Request, operation: str) -> web.StreamResponse:
    req = await _model_request(request, operation)
    sink = _CallerSink(request)
    try:
        await request.app[ROUTER].answer_model(req, sink)
    except RadishshiftError as exc:
        if sink.resp is None:
            raise
        body = msgspec.json.encode(exc.body(req.request_id))
        await sink.write(b"data: " + body + b"\n\n")
    resp = sink.resp
    if resp is None:
        raise InternalError("the answer was never started")
    return resp


async def _chat_completions(request: web.Request) -> web.StreamResponse:
    return await _run_model(request, "chat/completions")


async def _completions(request: web.Request) -> web.StreamResponse:
    return await _run_model(request, "completions")


async def _models(request: web.Request) -> web.Response:
    contract = _contract(request)
    versions = request.app[ROUTER].catalogue.allowed_versions(contract)
    data = [
        {"id": version.name, "object": "model", "created": 0, "owned_by": version.owner}
        for version in versions
        if version.state.takes_new_sessions
    ]
    return web.json_response({"object": "list", "data": data})


async def _answer(request: web.Request) -> web.StreamResponse:
    contract = _contract(request)
    request_id = request.match_info["request_id"]
    answer = request.app[ROUTER].answers.find(request_id, contract.customer)
    resp = web.StreamResponse(status=answer.status, headers=answer.headers)
    resp.content_type = answer.content_type
    await resp.prepare(request)
    async for part in answer.read():
        await resp.write(part)
    return resp


async def _bill(request: web.Request) -> web.Response:
    contract = _contract(request)
    request_id = request.match_info["request_id"]
    bill = request.app[ROUTER].biller.find(request_id)
    if bill is None or bill.customer != contract.customer:
        raise NotFoundError(f"no bill {request_id}")
    body = msgspec.json.encode(msgspec.to_builtins(bill) | {"cost": bill.cost})
    return web.Response(body=body, content_type="application/json")


async def _service(request: web.Request) -> web.Response:
    contract = _contract(request)
    router = request.app[ROUTER]
    name = request.match_info["service"]
    service = router.catalogue.services.get(name)
    if service is None:
        raise NotFoundError(f"no service {name}")
    if name not in contract.allowed:
        raise NotAllowedError(f"the contract does not allow {name}")
    path = "/" + request.match_info["path"]
    route = service.route(request.method, path)
    if route is None:
        raise NotFoundError(f"{name} has no {request.method} {path}")
    task_class = _task_class(request, service.task_class)
    now = router.clock.now()
    query = f"?{request.query_string}" if request.query_string else ""
    headers = {
        header: request.headers[header]
        for header in PASSED_ON_HEADERS
        if header in request.headers
    }
    request_id = request[REQUEST_ID]
    call = ServiceCall(
        request_id=request_id,
        contract=contract,
        task_class=task_class,
        service=name,
        method=request.method,
        path=path + query,
        headers=headers,
        body=await request.read(),
        idempotent=route.idempotent,
        arrived=now,
        deadline=_deadline(request, task_class, now),
        idempotency_key=request.headers.get("Idempotency-Key", request_id),
    )
    reply = await router.call_service(call)
    return web.Response(
        status=reply.status,
        body=reply.body,
        content_type=reply.content_type,
        headers={"X-Request-Id": request_id},
    )


def make_caller_app(router: Router, bounds: BoundSettings) -> web.Application:
    """Return the application that serves callers."""
    app = web.Application(
        middlewares=[_errors_as_json], client_max_size=bounds.body_bytes
    )
    app[ROUTER] = router
    app.router.add_post("/v1/chat/completions", _chat_completions)
    app.router.add_post("/v1/completions", _completions)
    app.router.add_get("/v1/models", _models)
    app.router.add_get("/v1/answers/{request_id}", _answer)
    app.router.add_get("/v1/answers/{request_id}/bill", _bill)
    app.router.add_route("*", "/v1/services/{service}/{path:.*}", _service)
    return app
