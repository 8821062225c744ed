"""Tests of the configuration in force at a host."""

from radishshift.catalogue import VersionState
from radishshift.clocks import ManualClock
from radishshift.configuration import CANARY_CONFIRMATION_MAX_AGE_S, Configuration
from radishshift.objects import Kind, Listing, StoredObject
from radishshift.standins.deployment import small_catalogue
from tests.cases import TestCase


def entry(name, revision, **changes):
    spec = {**small_catalogue()["farm-advice-large.v1"], **changes}
    return StoredObject(Kind.ENTRY, name, spec, {}, revision)


class ConfigurationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.configuration = Configuration(self.clock)

    def _state(self, name="v1"):
        return self.configuration.catalogue.versions[name].state

    def test_a_platform_restored_to_an_older_state_reverts_nothing(self):
        """The platform was restored from a backup that lacks the last write."""
        self.configuration.merge_objects([entry("v1", 5, state="withdrawn")], [])
        older = Listing((entry("v1", 3, state="serving"),), 4)
        self.configuration.apply_listing(Kind.ENTRY, older)
        self.assertIs(VersionState.WITHDRAWN, self._state())

    def test_an_invalid_entry_keeps_its_last_valid_form_and_blocks_no_other(self):
        self.configuration.merge_objects([entry("v1", 1), entry("v2", 2)], [])
        bad = entry("v1", 3, promptPriceNano="free")
        self.configuration.merge_objects([bad, entry("v2", 4, state="retiring")], [])
        self.assertIs(VersionState.SERVING, self._state("v1"))
        self.assertIs(VersionState.RETIRING, self._state("v2"))
        self.assertIn((Kind.ENTRY, "v1"), self.configuration.rejected)
        self.configuration.merge_objects([entry("v1", 5, state="withdrawn")], [])
        self.assertIs(VersionState.WITHDRAWN, self._state("v1"))
        self.assertEqual({}, self.configuration.rejected)

    def test_a_new_host_gets_the_last_valid_form_from_a_peer(self):
        self.configuration.merge_objects([entry("v1", 1)], [])
        self.configuration.merge_objects([entry("v1", 2, promptPriceNano="free")], [])
        fresh = Configuration(self.clock)
        fresh.merge(self.configuration.delta(fresh.heads(), True))
        self.assertIn("v1", fresh.catalogue.versions)
        self.assertIn((Kind.ENTRY, "v1"), fresh.rejected)

    async def test_a_canary_gets_no_new_sessions_while_unconfirmed(self):
        """A data centre that is cut off does not learn of a withdrawn version."""
        canary = entry("v2", 2, state="canary")
        listing = Listing((entry("v1", 1), canary), 2)
        self.configuration.apply_listing(Kind.ENTRY, listing)
        await self.clock.advance(CANARY_CONFIRMATION_MAX_AGE_S + 1)
        self.configuration.update_canary_exclusion()
        self.assertIs(VersionState.RETIRING, self._state("v2"))
        self.assertIs(VersionState.SERVING, self._state("v1"))
        self.configuration.confirm(self.clock.now())
        self.configuration.update_canary_exclusion()
        self.assertIs(VersionState.CANARY, self._state("v2"))
