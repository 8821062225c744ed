"""Tests of calls of services, before scripted endpoints."""

from radishshift.errors import EndpointError, RadishshiftError
from tests.cases import VirtualTestCase
from tests.test_attempts import words_of
from tests.virtual_entry import DESK, ScriptedEndpoint, virtual_entry


class ServiceCallsTest(VirtualTestCase):
    async def test_no_call_spends_a_retry_where_no_endpoint_is_left(self):
        """A service with one replica used up the retries of all versions."""
        broken = EndpointError("the endpoint answered with status 500")
        entry = await virtual_entry(
            {
                "desk": ScriptedEndpoint(error=broken, serves=(DESK,)),
                "engine-1": ScriptedEndpoint(error=broken),
                "engine-2": ScriptedEndpoint(),
            }
        )
        for number in range(6):
            await self.assert_raises_async(RadishshiftError, entry.call(f"{number}"))
        for number in range(6):
            text = (await entry.answer(f"small {number}")).decode()
            self.assertEqual("word0 word1 word2 ", words_of(text))
        self.assertGreater(len(entry.endpoints["engine-1"].started), 0)
