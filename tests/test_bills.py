"""Tests that each request is billed exactly once under faults."""

import asyncio

from radishshift.bill_copies import BillCopies
from radishshift.bills import Bill, Biller, BillItem
from radishshift.errors import BillsFullError, PlatformUnavailableError
from radishshift.ledger import merge_batches, read_ledger
from radishshift.objects import Kind
from radishshift.verdicts import Verdict
from tests.cases import VirtualTestCase
from tests.claims_fleet import CLOCK, Fleet

ITEM = BillItem("farm-advice-small.v1", "engine-1", 10, 20, 4_500)


def new_bill(request_id="request-1", *items):
    return Bill(request_id, "uyole-ring", list(items or (ITEM,)))


class BillingFleet(Fleet):
    """Hosts with a biller each that hold copies of each other's bills."""

    def __init__(self, *names):
        self.billers = {}
        self.copies = {}
        super().__init__(*names)

    def add(self, name, incarnation=1):
        super().add(name, incarnation)
        client = self.platform_clients[name]
        peers = self.network[name]
        self.billers[name] = Biller(client, CLOCK, name, incarnation, peers)
        self.copies[name] = BillCopies(client, CLOCK, peers)

    def kill(self, name):
        del self.network[name]
        del self.billers[name]
        del self.copies[name]

    async def settle(self):
        await CLOCK.sleep_until(CLOCK.now() + 60.0)
        for name, biller in self.billers.items():
            await biller.flush()
            await self.copies[name].settle_dead_owners()

    async def charged_requests(self):
        ledger = await read_ledger(self.platform)
        return sorted(request_id for _, request_id in ledger.bills)


class BillerTest(VirtualTestCase):
    async def test_a_killed_host_loses_no_bill(self):
        fleet = BillingFleet()
        await fleet.billers["mbeya-1"].make_durable(new_bill())
        fleet.kill("mbeya-1")
        await fleet.settle()
        self.assertEqual(["request-1"], await fleet.charged_requests())

    async def test_a_paused_host_continues_after_a_peer_settled_its_bills(self):
        fleet = BillingFleet()
        biller = fleet.billers["mbeya-1"]
        await biller.make_durable(new_bill())
        paused = fleet.network.pop("mbeya-1")
        await CLOCK.sleep_until(CLOCK.now() + 60.0)
        await fleet.copies["mbeya-2"].settle_dead_owners()
        fleet.network["mbeya-1"] = paused
        await biller.make_durable(new_bill("request-2"))
        await fleet.settle()
        ledger = await read_ledger(fleet.platform)
        self.assertEqual(["request-1", "request-2"], await fleet.charged_requests())
        self.assertEqual([], ledger.duplicates)
        self.assertEqual(0, biller.unsettled)

    async def test_a_restarted_host_is_another_incarnation(self):
        fleet = BillingFleet()
        await fleet.billers["mbeya-1"].make_durable(new_bill())
        fleet.add("mbeya-1", incarnation=9)
        await fleet.settle()
        self.assertEqual(["request-1"], await fleet.charged_requests())

    async def test_without_a_peer_in_its_data_centre_a_host_settles_at_once(self):
        fleet = BillingFleet("mbeya-1", "iringa-1")
        await fleet.billers["mbeya-1"].make_durable(new_bill())
        self.assertEqual(["request-1"], await fleet.charged_requests())

    async def test_without_peer_and_platform_the_bill_is_counted_as_unsecured(self):
        fleet = BillingFleet("mbeya-1")
        fleet.fault(down=True)
        biller = fleet.billers["mbeya-1"]
        await biller.make_durable(new_bill())
        self.assertEqual(1, biller.unsecured)
        fleet.add("mbeya-2", incarnation=2)
        await self.assert_raises_async(PlatformUnavailableError, biller.flush())
        await CLOCK.sleep_until(CLOCK.now() + 1.0)
        self.assertEqual(1, fleet.copies["mbeya-2"].copy_count)
        self.assertEqual(0, biller.unsecured)
        fleet.fault(down=False)
        await fleet.settle()
        self.assertEqual(["request-1"], await fleet.charged_requests())

    async def test_bills_are_copied_again_when_their_holder_crashes_in_an_outage(self):
        fleet = BillingFleet("mbeya-1", "mbeya-2", "mbeya-3")
        fleet.fault(down=True)
        biller = fleet.billers["mbeya-1"]
        await biller.make_durable(new_bill())
        fleet.kill("mbeya-2")
        await self.assert_raises_async(PlatformUnavailableError, biller.flush())
        await CLOCK.sleep_until(CLOCK.now() + 1.0)
        fleet.kill("mbeya-1")
        fleet.fault(down=False)
        await fleet.settle()
        self.assertEqual(["request-1"], await fleet.charged_requests())

    async def test_bills_survive_a_crash_of_owner_and_holder_in_one_outage(self):
        fleet = BillingFleet("mbeya-1", "mbeya-2", "mbeya-3")
        fleet.fault(down=True)
        await fleet.billers["mbeya-1"].make_durable(new_bill())
        for name in ("mbeya-1", "mbeya-2"):
            fleet.kill(name)
            await CLOCK.sleep_until(CLOCK.now() + 60.0)
            for copies in fleet.copies.values():
                await self.try_to_settle(copies)
        fleet.fault(down=False)
        await fleet.settle()
        self.assertEqual(["request-1"], await fleet.charged_requests())

    async def test_a_holder_that_stops_hands_over_its_copies(self):
        """The owner has just crashed, and no host has detected it yet."""
        for down in (False, True):
            fleet = BillingFleet("mbeya-1", "mbeya-2", "mbeya-3")
            fleet.fault(down=down)
            await fleet.billers["mbeya-1"].make_durable(new_bill())
            fleet.kill("mbeya-1")
            leaving = fleet.copies["mbeya-2"].hand_over()
            if down:
                await self.assert_raises_async(PlatformUnavailableError, leaving)
            else:
                await leaving
            fleet.kill("mbeya-2")
            fleet.fault(down=False)
            await fleet.settle()
            self.assertEqual(["request-1"], await fleet.charged_requests())

    async def test_a_holder_tolerates_that_the_owner_settles_at_the_same_time(self):
        """A holder failed on a batch that the owner had reported as settled."""
        fleet = BillingFleet("mbeya-1", "mbeya-2")
        fleet.fault(slow_s=0.1)
        biller = fleet.billers["mbeya-1"]
        for number in range(3):
            await biller.make_durable(new_bill(f"request-{number}"))
            biller._open_next_batch()
        leaving = asyncio.create_task(fleet.copies["mbeya-2"].hand_over())
        await CLOCK.sleep_until(CLOCK.now() + 0.05)
        fleet.copies["mbeya-2"]._owners["mbeya-1", 0].batches.clear()
        await leaving
        await biller.flush()
        self.assertEqual(3, len(await fleet.charged_requests()))

    async def try_to_settle(self, copies):
        try:
            await copies.settle_dead_owners()
        except PlatformUnavailableError:
            return

    async def test_a_long_outage_leads_to_refusals_and_loses_no_bill(self):
        fleet = BillingFleet()
        fleet.fault(down=True)
        biller = fleet.billers["mbeya-1"]
        biller._max_unsettled = 700
        for number in range(700):
            biller.check_capacity()
            await biller.make_durable(new_bill(f"request-{number}"))
        exc = self.assertRaises(BillsFullError, biller.check_capacity)
        self.assertIs(Verdict.NOT_RUN, exc.verdict)
        await self.assert_raises_async(PlatformUnavailableError, biller.flush())
        fleet.fault(down=False)
        await biller.flush()
        biller.check_capacity()
        self.assertEqual(700, len(await fleet.charged_requests()))
        self.assertLess(fleet.platform.writes, 5)

    async def test_each_bill_is_settled_once_when_writes_or_replies_are_lost(self):
        fleet = BillingFleet()
        biller = fleet.billers["mbeya-1"]
        fleet.fault(lost_replies=1)
        await biller.make_durable(new_bill())
        await biller.flush()
        fleet.fault(lost_replies=0, lost_writes=1)
        await biller.make_durable(new_bill("request-2"))
        await self.assert_raises_async(PlatformUnavailableError, biller.flush())
        await biller.flush()
        ledger = await read_ledger(fleet.platform)
        self.assertEqual(["request-1", "request-2"], await fleet.charged_requests())
        self.assertEqual([], ledger.duplicates)

    async def test_a_bill_that_grew_after_it_was_settled_is_charged_in_full(self):
        fleet = BillingFleet()
        biller = fleet.billers["mbeya-1"]
        bill = new_bill()
        await biller.make_durable(bill)
        await biller.flush()
        bill.items.append(ITEM)
        await biller.make_durable(bill)
        await biller.flush()
        ledger = await read_ledger(fleet.platform)
        self.assertEqual(9_000, ledger.owed("uyole-ring"))
        self.assertEqual([], ledger.duplicates)

    async def test_two_hosts_that_ran_one_request_bill_it_once(self):
        fleet = BillingFleet()
        await fleet.billers["mbeya-1"].make_durable(new_bill())
        await fleet.billers["iringa-1"].make_durable(new_bill())
        await fleet.settle()
        listing = await fleet.platform.list_all(Kind.BILL_BATCH)
        ledger = merge_batches(listing.items)
        again = merge_batches(reversed(listing.items))
        self.assertEqual(4_500, ledger.owed("uyole-ring"))
        self.assertEqual(1, len(ledger.duplicates))
        self.assertEqual(ledger, again)

    async def test_two_customers_may_use_the_same_request_id(self):
        fleet = BillingFleet()
        biller = fleet.billers["mbeya-1"]
        other = Bill("request-1", "igurusi-ring", [ITEM])
        await biller.make_durable(new_bill())
        await biller.make_durable(other)
        self.assertIs(other, biller.find("request-1", "igurusi-ring"))
        await biller.flush()
        self.assertEqual(2, len(await fleet.charged_requests()))

    async def test_peers_that_hold_different_copies_settle_all_of_them(self):
        fleet = BillingFleet("mbeya-1", "mbeya-2", "mbeya-3")
        biller = fleet.billers["mbeya-1"]
        await biller.make_durable(new_bill())
        fleet.network["mbeya-1"].cut = {"mbeya-2"}
        await biller.make_durable(new_bill("request-2"))
        fleet.kill("mbeya-1")
        await fleet.settle()
        self.assertEqual(["request-1", "request-2"], await fleet.charged_requests())
