"""End-to-end tests of the demonstration."""

import openai

from radishshift.demo import demonstrate, run_demo_host
from radishshift.objects import Kind
from radishshift.standins.deployment import KEY, deployed
from tests.cases import TestCase


class DemoTest(TestCase):
    async def test_requests_are_answered_and_a_booking_runs_once(self):
        async with deployed() as deployment, run_demo_host(deployment) as host:
            await demonstrate(host.address)
            self.assertEqual(["booking-1"], deployment.desk.ran)
            await host.router.biller.flush()
            batches = await deployment.platform.list_all(Kind.BILL_BATCH)
            bills = [bill for item in batches.items for bill in item.spec["bills"]]
            self.assertEqual(3, len({bill["request_id"] for bill in bills}))

    async def test_the_openai_client_raises_its_matching_errors(self):
        async with (
            deployed() as deployment,
            run_demo_host(deployment) as host,
            openai.AsyncOpenAI(
                api_key="wrong", base_url=f"{host.address}/v1"
            ) as client_with_bad_key,
            openai.AsyncOpenAI(api_key=KEY, base_url=f"{host.address}/v1") as client,
        ):
            await self.assert_raises_async(
                openai.AuthenticationError, _list_models(client_with_bad_key)
            )
            messages = [{"role": "user", "content": "Hello"}]
            await self.assert_raises_async(
                openai.NotFoundError,
                client.chat.completions.create(model="no-such", messages=messages),
            )


async def _list_models(client):
    return await client.models.list()
