"""Tests of customer limits and their division among hosts and data centres."""

from radishshift.contracts import Contract, Limits
from radishshift.data_centre_shares import DataCentreShares
from radishshift.errors import LimitError
from radishshift.hosts import Host
from radishshift.limit_shares import Demand, LimitShares
from radishshift.limits import Limiter
from radishshift.objects import Kind
from radishshift.platform import MemoryPlatform
from tests.cases import TestCase

LIMITS = Limits(100.0, 1e9, 10**6)


def contract(limits=LIMITS):
    return Contract("uyole-ring", (), frozenset(), 1.0, limits, {}, "")


def acquire_up_to(limiter, count, now, tokens=1, limits=LIMITS):
    grants = []
    for _ in range(count):
        try:
            grants.append(limiter.acquire(contract(limits), tokens, now))
        except LimitError:
            break
    return grants


class LimiterTest(TestCase):
    def test_grants_stay_within_the_limit_and_a_small_burst(self):
        limiter = Limiter()
        total = 0
        for tick in range(1000):
            for grant in acquire_up_to(limiter, 5, tick / 100):
                total += 1
                limiter.settle(grant, 1)
        self.assertLessEqual(total, 1020 + 1)
        self.assertGreater(total, 990)

    def test_a_limit_of_zero_rejects_every_request(self):
        for limits in (Limits(0, 1e9, 9), Limits(9, 0, 9), Limits(9, 1e9, 0)):
            limiter = Limiter()
            acquire_up_to(limiter, 1, 0.0, limits=limits)
            error = self.assertRaises(
                LimitError, limiter.acquire, contract(limits), 1, 50.0
            )
            self.assertGreater(error.retry_after_s, 0)

    def test_tokens_beyond_the_estimate_are_charged_later(self):
        limits = Limits(1e9, 100.0, 10**6)
        limiter = Limiter()
        grant = limiter.acquire(contract(limits), 10, 0.0)
        limiter.settle(grant, 1000)
        error = self.assertRaises(LimitError, limiter.acquire, contract(limits), 1, 5.0)
        self.assertAlmostEqual(5.0, error.retry_after_s, delta=0.1)
        self.assertEqual(1, len(acquire_up_to(limiter, 1, 10.1, limits=limits)))

    def test_a_clock_stepping_back_grants_nothing_twice(self):
        limiter = Limiter()
        acquire_up_to(limiter, 1000, 100.0)
        self.assertEqual([], acquire_up_to(limiter, 1000, 50.0))
        self.assertLessEqual(len(acquire_up_to(limiter, 1000, 50.5)), 51)

    def test_concurrency_is_limited(self):
        limits = Limits(1e9, 1e9, 2)
        limiter = Limiter()
        grants = acquire_up_to(limiter, 5, 0.0, limits=limits)
        self.assertEqual(2, len(grants))
        limiter.settle(grants[0], 1)
        self.assertEqual(1, len(acquire_up_to(limiter, 5, 0.1, limits=limits)))


class _Fleet:
    def __init__(self, count):
        self.hosts = [Host(f"h{n}", "mbeya", "tz", "") for n in range(count)]
        self.shares = [LimitShares(host) for host in self.hosts]
        self.reachable = set(range(count))

    def step(self, demands, now):
        for index, shares in enumerate(self.shares):
            seen = self.reachable if index in self.reachable else {index}
            live = [self.hosts[other] for other in seen]
            demand = {"uyole-ring": Demand(demands[index], 0.0, 0.0)}
            shares.update(demand, demand, {"uyole-ring": LIMITS}, live, now)
        for one in self.reachable:
            for other in self.reachable - {one}:
                value = self.shares[one].section.outgoing(self.hosts[other], now)
                if value is not None:
                    section = self.shares[other].section
                    section.incoming(self.hosts[one], value, now)

    def allowances(self):
        return [
            shares.allowance("uyole-ring", LIMITS).requests_per_s
            for shares in self.shares
        ]


class LimitSharesTest(TestCase):
    def test_shares_follow_demand_and_never_exceed_the_limit(self):
        fleet = _Fleet(4)
        for now in range(60):
            demands = [200, 10, 10, 10] if now < 30 else [10, 10, 10, 200]
            fleet.step(demands, float(now))
            self.assertLessEqual(sum(fleet.allowances()), 100.001)
            if now == 29:
                self.assertGreater(fleet.allowances()[0], 75)
        self.assertGreater(fleet.allowances()[3], 75)

    def test_nothing_is_sent_while_demand_is_constant(self):
        fleet = _Fleet(3)
        for now in range(20):
            fleet.step([50, 60, 70], float(now))
        values = [
            fleet.shares[0].section.outgoing(host, 20.0) for host in fleet.hosts[1:]
        ]
        self.assertEqual([None, None], values)

    def test_a_partitioned_host_keeps_its_part(self):
        """A host that sees no other host must not take their parts of the limit."""
        fleet = _Fleet(4)
        for now in range(20):
            fleet.step([50.0] * 4, float(now))
        before = fleet.allowances()[0]
        fleet.reachable = {1, 2, 3}
        for now in range(20, 120):
            fleet.step([50.0] * 4, float(now))
        self.assertAlmostEqual(before, fleet.allowances()[0], delta=0.5)

    def test_the_part_of_a_removed_host_is_redistributed(self):
        fleet = _Fleet(4)
        for now in range(20):
            fleet.step([50.0] * 4, float(now))
        fleet.reachable = {1, 2, 3}
        for now in range(20, 60):
            fleet.step([50.0] * 4, float(now))
        self.assertAlmostEqual(100.0, sum(fleet.allowances()[1:]), delta=1.0)

    def test_malformed_rows_are_ignored(self):
        shares = LimitShares(Host("h0", "mbeya", "tz", ""))
        peer = Host("h1", "mbeya", "tz", "")
        rows = [["h1|uyole-ring", 1, "x"], ["*|mbeya", 1, {"uyole-ring": 7}]]
        shares.section.incoming(peer, [2, 0, rows], 0.0)
        shares.update({}, {}, {"uyole-ring": LIMITS}, [peer], 9.0)
        host_limits = shares.allowance("uyole-ring", LIMITS)
        self.assertEqual(50.0, host_limits.requests_per_s)


class DataCentreSharesTest(TestCase):
    names = ("mbeya", "iringa", "njombe")

    def setUp(self):
        super().setUp()
        self.platform = MemoryPlatform()
        self.centres = {
            name: DataCentreShares(self.platform, name) for name in self.names
        }

    async def renew(self, name, requests_per_s, now):
        demand = {"uyole-ring": Demand(requests_per_s, 0.0, 0.0)}
        shares = await self.centres[name].renew(
            demand, {"uyole-ring": LIMITS}, self.names, now
        )
        return shares["uyole-ring"]

    async def test_shares_follow_demand_and_never_add_up_to_more_than_one(self):
        shares = {}
        for round_number in range(6):
            for name, demand in zip(self.names, (180.0, 20.0, 20.0), strict=True):
                shares[name] = await self.renew(name, demand, round_number * 5.0)
                if len(shares) == 3:
                    self.assertLessEqual(sum(shares.values()), 1.00001)
        self.assertGreater(shares["mbeya"], 0.7)

    async def test_the_share_of_a_data_centre_cut_off_is_kept_until_its_expiry(self):
        for now in (0.0, 5.0):
            for name in self.names:
                await self.renew(name, 50.0, now)
        for now in (10.0, 20.0, 30.0):
            for name in self.names[:2]:
                share = await self.renew(name, 500.0, now)
                self.assertLess(share, 0.4)
        await self.renew("mbeya", 500.0, 36.0)
        await self.renew("iringa", 500.0, 36.0)
        self.assertGreater(await self.renew("mbeya", 500.0, 41.0), 0.45)

    async def test_a_returning_data_centre_takes_only_the_free_share(self):
        for now in (0.0, 5.0):
            for name in self.names:
                await self.renew(name, 50.0, now)
        for now in (40.0, 45.0, 50.0):
            for name in self.names[:2]:
                await self.renew(name, 500.0, now)
        self.assertLess(await self.renew("njombe", 500.0, 51.0), 0.05)
        item = await self.platform.get(Kind.SHARE, "limits")
        shares = [
            entry["share"]["uyole-ring"] for entry in item.spec["dataCentres"].values()
        ]
        self.assertLessEqual(sum(shares), 1.00001)
