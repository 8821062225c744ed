"""Calls of plain services: once for those that may not be repeated."""

from typing import TYPE_CHECKING

from radishshift.bills import Bill, BillItem
from radishshift.clocks import finish_by
from radishshift.endpoints import Endpoint
from radishshift.engines import ServiceReply
from radishshift.errors import DeadlineError, EndpointError, RadishshiftError
from radishshift.requests import ServiceCall
from radishshift.verdicts import Verdict

if TYPE_CHECKING:
    from radishshift.router import Router

__all__ = ["run_call"]


async def run_call(router: "Router", call: ServiceCall) -> ServiceReply:
    """Run a call that has been admitted.

    Raises
    ------
    RadishshiftError
    """
    if call.idempotent:
        return await _attempt(router, call)
    return await _run_once(router, call)


async def _run_once(router: "Router", call: ServiceCall) -> ServiceReply:
    claim = await router.claims.claim(call)
    if claim.recorded is not None:
        return claim.recorded
    call.deadline = claim.record.deadline
    try:
        claim.check(router.clock.now())
        reply = await _attempt(router, call)
    except RadishshiftError as exc:
        if exc.verdict is Verdict.NOT_RUN:
            await router.claims.release(claim)
        else:
            await router.claims.lose(claim)
        raise
    await router.claims.record(claim, reply)
    return reply


async def _attempt(router: "Router", call: ServiceCall) -> ServiceReply:
    tried: set[str] = set()
    verdict = Verdict.NOT_RUN
    while True:
        try:
            endpoint = router.choose_endpoint(call.service, call.body, tried)
            tried.add(endpoint.name)
            return await _run_at(router, call, endpoint)
        except RadishshiftError as exc:
            verdict = exc.verdict = verdict.worst(exc.verdict)
            if not isinstance(exc, EndpointError) or not router.retry_budget.allows(
                exc, call.idempotent, call.deadline, router.clock.now()
            ):
                raise


async def _run_at(
    router: "Router", call: ServiceCall, endpoint: Endpoint
) -> ServiceReply:
    if router.clock.now() >= call.deadline:
        raise DeadlineError("the deadline has passed", verdict=Verdict.NOT_RUN)
    router.loads.started(endpoint)
    try:
        reply = await finish_by(
            router.clock, call.deadline, router.engines.call(endpoint, call)
        )
    except TimeoutError as exc:
        raise DeadlineError("the service did not answer in time") from exc
    finally:
        router.loads.ended(endpoint)
    service = router.catalogue.services[call.service]
    bill = Bill(call.request_id, call.contract.customer)
    item = BillItem(call.service, endpoint.name, 0, 0, service.call_price)
    bill.items.append(item)
    await router.biller.secure(bill)
    return reply
