"""The HTTP API for callers: OpenAI-compatible paths and routed plain services."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook
import msgspec
from aiohttp import web

from radishshift.bounded_listening import held
from radishshift.caller_bounds import CallerBounds
from radishshift.caller_connections import CallerSink, error_response
from radishshift.caller_requests import (
    BOUNDS,
    CONNECTIONS,
    REQUEST_ID,
    ROUTER,
    TIMES,
    check_headers,
    read_contract,
    read_model_request,
    read_position,
    read_request_id,
    read_service_call,
)
from radishshift.errors import (
    BadRequestError,
    InternalError,
    NotFoundError,
    RadishshiftError,
    TooLargeError,
)
from radishshift.events import skip_events
from radishshift.logs import log_request_id
from radishshift.requests import new_request_id
from radishshift.router import Router
from radishshift.settings import BoundSettings, TimeSettings

__all__ = ["make_caller_app"]

logger = logbook.Logger("callers")


@web.middleware
async def _json_errors(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    request_id = new_request_id()
    try:
        # The protocol class of test servers has no such timer; `int()` does nothing.
        getattr(request.protocol, "cancel_first_request_timer", int)()
        request_id = read_request_id(request)
        request[REQUEST_ID] = request_id
        check_headers(request)
        with log_request_id(request_id):
            async with held(request, request.app[CONNECTIONS]):
                return await handler(request)
    except RadishshiftError as exc:
        logger.info(
            "request failed with {}: {}",
            exc.code,
            exc.message,
            extra={"request_id": request_id},
        )
        return error_response(exc, request_id)
    except web.HTTPRequestEntityTooLarge:
        return error_response(
            TooLargeError("the request body is too large"), request_id
        )
    except web.HTTPException as exc:
        error: RadishshiftError = BadRequestError(exc.reason)
        if exc.status == 404:
            error = NotFoundError("no such path")
        return error_response(error, request_id)
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception:
        logger.exception(
            "request failed with an internal error", extra={"request_id": request_id}
        )
        return error_response(InternalError("internal error"), request_id)


async def _send_answer(
    request: web.Request, sink: CallerSink, sending: Awaitable[None]
) -> web.StreamResponse:
    """Wait until an answer has been sent.

    An error after the response has started is sent as its last event.
    """
    try:
        await sending
    except RadishshiftError as exc:
        if sink.resp is None:
            raise
        request_id = request[REQUEST_ID]
        logger.info(
            "answer ended with {}: {}",
            exc.code,
            exc.message,
            extra={"request_id": request_id},
        )
        body = msgspec.json.encode(exc.body(request_id))
        await sink.write(b"data: " + body + b"\n\n")
    if sink.resp is None:
        raise InternalError("the response was never started")
    return sink.resp


async def _run_model(request: web.Request, operation: str) -> web.StreamResponse:
    req = await read_model_request(request, operation)
    sink = CallerSink(request, request.app[TIMES].caller_stall_s)
    return await _send_answer(
        request, sink, request.app[ROUTER].answer_model(req, sink)
    )


async def _chat_completions(request: web.Request) -> web.StreamResponse:
    return await _run_model(request, "chat/completions")


async def _completions(request: web.Request) -> web.StreamResponse:
    return await _run_model(request, "completions")


async def _list_models(request: web.Request) -> web.Response:
    contract = read_contract(request)
    versions = request.app[ROUTER].catalogue.allowed_versions(contract)
    data = [
        {"id": version.name, "object": "model", "created": 0, "owned_by": version.owner}
        for version in versions
        if version.state.accepts_new_sessions
    ]
    return web.json_response({"object": "list", "data": data})


async def _get_answer(request: web.Request) -> web.StreamResponse:
    contract = read_contract(request)
    position, events = read_position(request)
    sink = CallerSink(request, request.app[TIMES].caller_stall_s)
    sending = _replay(request, contract.customer, sink, position, events)
    return await _send_answer(request, sink, sending)


async def _replay(
    request: web.Request, customer: str, sink: CallerSink, position: int, events: int
) -> None:
    router = request.app[ROUTER]
    request_id = request.match_info["request_id"]
    try:
        answer = router.answers.find(request_id, customer)
    except NotFoundError:
        if router.remote_answers is None:
            raise
        remote = router.remote_answers
        await remote.replay(request_id, customer, sink, position, events)
        return
    if events:
        position = skip_events(answer.data, events)
    await router.replay(answer, sink, position, answer.expires_at)


async def _get_bill(request: web.Request) -> web.Response:
    contract = read_contract(request)
    request_id = request.match_info["request_id"]
    bill = request.app[ROUTER].biller.find(request_id, contract.customer)
    if bill is None:
        raise NotFoundError("no bill for this request id")
    body = msgspec.json.encode(msgspec.to_builtins(bill) | {"cost": bill.cost})
    return web.Response(body=body, content_type="application/json")


async def _call_service(request: web.Request) -> web.Response:
    call = await read_service_call(request)
    reply = await request.app[ROUTER].call_service(call)
    return web.Response(
        status=reply.status,
        body=reply.body,
        content_type=reply.content_type,
        headers={"X-Request-Id": call.request_id},
    )


async def _expect(_: web.Request) -> None:
    """Leave `100 Continue` to the reading of the body, which may be refused."""


def make_caller_app(
    router: Router,
    connections: CallerBounds,
    bounds: BoundSettings,
    times: TimeSettings | None = None,
) -> web.Application:
    """Return the application that serves callers."""
    app = web.Application(middlewares=[_json_errors], client_max_size=bounds.body_bytes)
    app[ROUTER] = router
    app[CONNECTIONS] = connections
    app[BOUNDS] = bounds
    app[TIMES] = times or TimeSettings()
    with_body = {"expect_handler": _expect}
    app.router.add_post("/v1/chat/completions", _chat_completions, **with_body)
    app.router.add_post("/v1/completions", _completions, **with_body)
    app.router.add_get("/v1/models", _list_models)
    app.router.add_get("/v1/answers/{request_id}", _get_answer)
    app.router.add_get("/v1/answers/{request_id}/bill", _get_bill)
    app.router.add_route(
        "*", "/v1/services/{service}/{path:.*}", _call_service, **with_body
    )
    return app
