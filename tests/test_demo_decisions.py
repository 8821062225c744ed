"""Tests of the demonstration of a cascade and a stopped roll-out."""

from radishshift.demo import _print_bill, _send_chat, run_demo_host
from radishshift.demo_decisions import show_cascade, show_rollout
from radishshift.settings import TimeSettings
from radishshift.standins.deployment import deployed
from tests.cases import TestCase


class DemoDecisionsTest(TestCase):
    async def test_a_cascade_is_billed_and_a_poorly_rated_version_is_held(self):
        times = TimeSettings(guard_s=0.05)
        async with (
            deployed() as deployment,
            run_demo_host(deployment, times=times) as host,
        ):
            for engine in deployment.engines.values():
                engine.token_s = 0.001
            await show_cascade(deployment, host, _send_chat, _print_bill)
            entry = await show_rollout(deployment, host)
            self.assertIn("quality", entry.status["rollout"]["reason"])
