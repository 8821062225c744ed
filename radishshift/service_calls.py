"""Calls of services that are not models; a non-idempotent call runs at most once."""

from dataclasses import dataclass

from radishshift.bills import Bill, Biller, BillItem
from radishshift.claims import Claims
from radishshift.clocks import Clock, finish_by
from radishshift.configuration import Configuration
from radishshift.endpoint_choice import EndpointChooser
from radishshift.endpoints import Endpoint
from radishshift.engines import EngineClient, ServiceReply
from radishshift.errors import (
    DeadlineError,
    EndpointCrashedError,
    EndpointError,
    RadishshiftError,
)
from radishshift.loads import EndpointLoads
from radishshift.poison_retries import PoisonGuard
from radishshift.requests import ServiceCall
from radishshift.retries import RetryBudget
from radishshift.verdicts import Verdict

__all__ = ["CallContext", "run_call"]


@dataclass(frozen=True, slots=True)
class CallContext:
    """Components of the host that service calls use."""

    clock: Clock
    configuration: Configuration
    engines: EngineClient
    chooser: EndpointChooser
    loads: EndpointLoads
    poison_guard: PoisonGuard
    retry_budget: RetryBudget
    claims: Claims
    biller: Biller


async def run_call(context: CallContext, call: ServiceCall) -> ServiceReply:
    """Run a call that has been admitted.

    Raises
    ------
    RadishshiftError
    """
    if call.idempotent:
        return await _run_with_retries(context, call)
    return await _run_at_most_once(context, call)


async def _run_at_most_once(context: CallContext, call: ServiceCall) -> ServiceReply:
    claim = await context.claims.claim(call)
    if claim.recorded_reply is not None:
        return claim.recorded_reply
    call.deadline = claim.record.deadline
    try:
        claim.check_deadline(context.clock.now())
        reply = await _run_with_retries(context, call)
    except RadishshiftError as exc:
        if exc.verdict is Verdict.NOT_RUN:
            await context.claims.release(claim)
        else:
            await context.claims.record_unknown(claim)
        raise
    await context.claims.record(claim, reply)
    return reply


async def _run_with_retries(context: CallContext, call: ServiceCall) -> ServiceReply:
    context.biller.check_capacity()
    tried: set[str] = set()
    verdict = Verdict.NOT_RUN
    bill = Bill(call.request_id, call.contract.customer)
    price = context.configuration.catalogue.services[call.service].call_price
    while True:
        try:
            endpoint = context.chooser.choose(call.service, call.body, tried)
            tried.add(endpoint.name)
            reply = await _run_at_endpoint(context, call, endpoint)
        except RadishshiftError as exc:
            if exc.verdict is not Verdict.NOT_RUN:
                bill.items.append(_bill_item(call, endpoint, 0, price))
            verdict = exc.verdict = verdict.worst(exc.verdict)
            endpoint_left = context.chooser.has_untried(call.service, tried)
            if not isinstance(exc, EndpointError) or not context.retry_budget.allows(
                exc,
                call.idempotent,
                call.deadline,
                context.clock.now(),
                endpoint_left,
            ):
                if bill.items:
                    await context.biller.make_durable(bill)
                raise
        else:
            bill.items.append(_bill_item(call, endpoint, price, 0))
            await context.biller.make_durable(bill)
            return reply


async def _run_with_poison_guard(
    context: CallContext, call: ServiceCall, endpoint: Endpoint
) -> ServiceReply:
    """Run the call, under a grant if it is suspected of crashing endpoints."""
    poison_guard = context.poison_guard
    async with poison_guard.isolated_retry(
        call.fingerprint, endpoint.name, call.deadline
    ):
        try:
            return await context.engines.call(endpoint, call)
        except EndpointCrashedError:
            await poison_guard.report_crash(call.fingerprint, endpoint.name)
            raise


def _bill_item(
    call: ServiceCall, endpoint: Endpoint, cost: int, operator_cost: int
) -> BillItem:
    return BillItem(call.service, endpoint.name, 0, 0, cost, operator_cost)


async def _run_at_endpoint(
    context: CallContext, call: ServiceCall, endpoint: Endpoint
) -> ServiceReply:
    """Make one attempt at an endpoint, until the call's deadline."""
    if context.clock.now() >= call.deadline:
        raise DeadlineError("the deadline has passed", verdict=Verdict.NOT_RUN)
    context.loads.record_start(endpoint, context.clock.now())
    ok: bool | None = None
    try:
        reply = await finish_by(
            context.clock,
            call.deadline,
            _run_with_poison_guard(context, call, endpoint),
        )
        ok = True
    except TimeoutError as exc:
        raise DeadlineError("the service did not answer in time") from exc
    except EndpointError:
        ok = False
        raise
    finally:
        context.loads.record_end(endpoint, context.clock.now(), ok)
    return reply
