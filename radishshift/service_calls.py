"""Calls of plain services: once for those that may not be repeated."""

from typing import TYPE_CHECKING

from radishshift.bills import Bill, BillItem
from radishshift.clocks import finish_by
from radishshift.endpoints import Endpoint
from radishshift.engines import ServiceReply
from radishshift.errors import (
    DeadlineError,
    EndpointCrashedError,
    EndpointError,
    RadishshiftError,
)
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
    router.biller.check_room()
    tried: set[str] = set()
    verdict = Verdict.NOT_RUN
    bill = Bill(call.request_id, call.contract.customer)
    price = router.catalogue.services[call.service].call_price
    while True:
        try:
            endpoint = router.choose_endpoint(call.service, call.body, tried)
            tried.add(endpoint.name)
            reply = await _run_at(router, call, endpoint)
        except RadishshiftError as exc:
            if exc.verdict is not Verdict.NOT_RUN:
                bill.items.append(_item(call, endpoint, 0, price))
            verdict = exc.verdict = verdict.worst(exc.verdict)
            if not isinstance(exc, EndpointError) or not router.retry_budget.allows(
                exc, call.idempotent, call.deadline, router.clock.now()
            ):
                if bill.items:
                    await router.biller.secure(bill)
                raise
        else:
            bill.items.append(_item(call, endpoint, price, 0))
            await router.biller.secure(bill)
            return reply


async def _run_apart(
    router: "Router", call: ServiceCall, endpoint: Endpoint
) -> ServiceReply:
    poison = router.poison
    async with poison.tried_apart(call.fingerprint, endpoint.name, call.deadline):
        try:
            return await router.engines.call(endpoint, call)
        except EndpointCrashedError:
            await poison.tell_crash(call.fingerprint, endpoint.name)
            raise


def _item(
    call: ServiceCall, endpoint: Endpoint, cost: int, operator_cost: int
) -> BillItem:
    return BillItem(call.service, endpoint.name, 0, 0, cost, operator_cost)


async def _run_at(
    router: "Router", call: ServiceCall, endpoint: Endpoint
) -> ServiceReply:
    if router.clock.now() >= call.deadline:
        raise DeadlineError("the deadline has passed", verdict=Verdict.NOT_RUN)
    router.loads.started(endpoint, router.clock.now())
    failed = False
    try:
        reply = await finish_by(
            router.clock, call.deadline, _run_apart(router, call, endpoint)
        )
    except TimeoutError as exc:
        raise DeadlineError("the service did not answer in time") from exc
    except EndpointError:
        failed = True
        raise
    finally:
        router.loads.ended(endpoint, router.clock.now(), not failed)
    return reply
