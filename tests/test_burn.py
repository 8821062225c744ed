"""Tests of the service-level indicators and of the burn report."""

import msgspec

from radishshift.burn import Severity, burn_report, gather_reports, report_text
from radishshift.burn_page import burn_page
from radishshift.catalogue import Catalogue
from radishshift.clocks import ManualClock
from radishshift.contracts import Objectives
from radishshift.indicators import Aspect, Indicators, Sample, Window
from radishshift.listening import listening
from radishshift.manifests import build_catalogue
from radishshift.metrics import Metrics
from radishshift.monitoring import build_monitoring_app
from radishshift.objects import Kind, StoredObject
from radishshift.standins.deployment import small_catalogue
from tests.cases import TestCase

OBJECTIVES = Objectives(0.75, 0.058, 60.0, 0.95)
START = 1_000_000.0
VERSION = "farm-advice-large.v2"


def _catalogue(held: bool = False) -> Catalogue:
    specs = small_catalogue()
    specs[VERSION]["state"] = "held" if held else "serving"
    items = [StoredObject(Kind.ENTRY, name, spec) for name, spec in specs.items()]
    return build_catalogue(1, items)


def _sample(ok: bool = True, first_token_s: float = 0.1) -> Sample:
    return Sample("uyole-ring", "quick-check", VERSION, ok, first_token_s, 0.02, 1.0)


def _row(report, aspect):
    return next(row for row in report.rows if row.aspect is aspect)


class BurnTest(TestCase):
    def test_the_burn_rate_is_one_when_the_error_budget_is_just_used_up(self):
        indicators = Indicators("h1", START)
        for number in range(100):
            indicators.record(_sample(ok=number >= 5), OBJECTIVES, START)
        report = burn_report([indicators.report(START)], [], _catalogue())
        row = _row(report, Aspect.SUCCESS)
        self.assertAlmostEqual(1.0, row.rates[Window.HOUR])
        self.assertIs(Severity.TICKET, row.severity)

    def test_an_outage_pages_and_a_past_one_does_not(self):
        """The short window ends an alert soon after the fault is repaired."""
        indicators = Indicators("h1", START)
        indicators.record(_sample(ok=False), OBJECTIVES, START)
        report = burn_report([indicators.report(START)], [], _catalogue())
        self.assertIs(Severity.PAGE, _row(report, Aspect.SUCCESS).severity)
        later = START + 2 * 3600
        for _ in range(100):
            indicators.record(_sample(), OBJECTIVES, later)
        report = burn_report([indicators.report(later)], [], _catalogue())
        row = _row(report, Aspect.SUCCESS)
        self.assertEqual(0.0, row.rates[Window.MINUTES_5])
        self.assertIs(Severity.NONE, row.severity)

    def test_outdated_slots_of_the_ring_are_not_counted(self):
        indicators = Indicators("h1", START)
        indicators.record(_sample(ok=False), OBJECTIVES, START)
        later = START + 80 * 3600
        self.assertEqual([], indicators.report(later).series)

    def test_counts_of_hosts_are_summed_and_late_first_tokens_burn(self):
        reports = []
        for name in ("h1", "h2"):
            indicators = Indicators(name, START)
            indicators.record(_sample(first_token_s=0.8), OBJECTIVES, START)
            indicators.record(_sample(), OBJECTIVES, START)
            reports.append(indicators.report(START))
        report = burn_report(reports, ["h3"], _catalogue())
        row = _row(report, Aspect.FIRST_TOKEN)
        self.assertEqual(4, row.requests[Window.HOUR])
        self.assertAlmostEqual(10.0, row.rates[Window.HOUR])
        self.assertIn("unreachable: h3", report_text(report))

    def test_requests_of_a_held_version_count_as_exposure(self):
        indicators = Indicators("h1", START)
        indicators.record(_sample(), OBJECTIVES, START)
        report = burn_report([indicators.report(START)], [], _catalogue(held=True))
        self.assertAlmostEqual(100.0, _row(report, Aspect.EXPOSURE).rates[Window.HOUR])
        report = burn_report([indicators.report(START)], [], _catalogue(held=False))
        self.assertEqual(0.0, _row(report, Aspect.EXPOSURE).rates[Window.HOUR])

    def test_the_page_is_self_contained_escaped_and_reproducible(self):
        indicators = Indicators("<h1>", START)
        indicators.record(_sample(), OBJECTIVES, START)
        report = burn_report([indicators.report(START)], ["<h2>"], _catalogue())
        page = burn_page(report)
        self.assertIn("<svg", page)
        self.assertIn("&lt;h2&gt;", page)
        self.assertNotIn("src=", page)
        self.assertEqual(page, burn_page(report))

    async def test_unreachable_hosts_are_listed(self):
        clock = ManualClock(START)
        metrics = Metrics("h1", "mbeya")
        metrics.record_request(_sample())
        indicators = Indicators("h1", START)
        indicators.record(_sample(), OBJECTIVES, START)
        app = build_monitoring_app(metrics, indicators, clock, lambda: True)
        async with listening(app) as url:
            unreachable_url = "http://127.0.0.1:9"
            reports, missing = await gather_reports([url, unreachable_url])
        self.assertEqual([unreachable_url], missing)
        self.assertEqual("h1", reports[0].host)
        self.assertIn(b"gen_ai_server_time_to_first_token", metrics.exposition())
        msgspec.json.encode(reports[0])
