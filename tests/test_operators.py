"""Tests of the operations on the catalogue."""

import hashlib
from dataclasses import replace

from testtools import ExpectedException

from radishshift.catalogue import VersionState
from radishshift.clocks import ManualClock
from radishshift.configuration import Configuration
from radishshift.errors import (
    BadRequestError,
    LostRaceError,
    NotFoundError,
    PlatformUnavailableError,
    SettingsError,
)
from radishshift.objects import Kind, StoredObject
from radishshift.operators import (
    DifferenceType,
    add_entry,
    apply_catalogue,
    check_catalogue,
    diff_catalogue,
    evacuate_data_centre,
    move_version,
    restore_data_centre,
)
from radishshift.platform import MemoryPlatform
from radishshift.standins.deployment import small_catalogue
from radishshift.verdicts import Verdict
from tests.cases import TestCase

VERSION = "farm-advice-large.v2"


class _PlatformLosingReplies(MemoryPlatform):
    async def update(self, item):
        await super().update(item)
        raise PlatformUnavailableError("reply lost", verdict=Verdict.MAY_HAVE_RUN)


class CheckTest(TestCase):
    def test_the_small_catalogue_is_valid(self):
        check_catalogue(small_catalogue())

    def test_every_problem_is_listed(self):
        specs = small_catalogue()
        specs["uyole-ring"]["allowed"] = ["no-such-model"]
        specs["booking-desk"]["taskClass"] = "no-such-class"
        specs["policies"]["planner"] = "no-such-planner"
        exc = self.assertRaises(SettingsError, check_catalogue, specs)
        self.assertEqual(3, len(exc.problems))

    def test_the_digest_of_a_blank_key_is_refused(self):
        """Hashing a variable that isn't set gives this digest."""
        specs = small_catalogue()
        blank_digest = hashlib.sha256(b"").hexdigest()
        specs["uyole-ring"]["keyDigests"] = [blank_digest]
        exc = self.assertRaises(SettingsError, check_catalogue, specs)
        self.assertEqual(
            ["uyole-ring.keyDigests: the digest of a blank API key"], exc.problems
        )

    def test_a_parameter_that_no_policy_reads_is_refused(self):
        """A misspelt parameter name was once accepted and then ignored."""
        specs = small_catalogue()
        specs["policies"]["parameters"] = {
            "target-mix.margn": 1.0,
            "target-mix.explore-share": 5.0,
        }
        exc = self.assertRaises(SettingsError, check_catalogue, specs)
        self.assertEqual(2, len(exc.problems))


class ApplyTest(TestCase):
    async def test_apply_then_diff_is_empty(self):
        platform = MemoryPlatform()
        specs = small_catalogue()
        await apply_catalogue(platform, await diff_catalogue(platform, specs))
        self.assertEqual([], await diff_catalogue(platform, specs))

    async def test_a_lost_race_names_the_writer_and_overwrites_nothing(self):
        """Two operators read one entry; the second must not overwrite it silently."""
        platform = MemoryPlatform()
        specs = small_catalogue()
        await apply_catalogue(platform, await diff_catalogue(platform, specs))
        specs["uyole-ring"]["weight"] = 2.0
        differences = await diff_catalogue(platform, specs)
        current = await platform.get(Kind.ENTRY, "uyole-ring")
        theirs = replace(current, spec={**current.spec, "weight": 3.0}, writer="neema")
        await platform.update(theirs)
        exc = await self.assert_raises_async(
            LostRaceError, apply_catalogue(platform, differences)
        )
        self.assertEqual("neema", exc.writer)
        self.assertEqual(["weight: stored 3.0, attempted 2.0"], exc.changes)
        current = await platform.get(Kind.ENTRY, "uyole-ring")
        self.assertEqual(3.0, current.spec["weight"])

    async def test_entries_missing_from_the_file_are_kept_unless_pruned(self):
        platform = MemoryPlatform()
        specs = small_catalogue()
        await apply_catalogue(platform, await diff_catalogue(platform, specs))
        del specs["igurusi-ring"]
        differences = await diff_catalogue(platform, specs)
        self.assertEqual([DifferenceType.REMOVED], [d.type for d in differences])
        await apply_catalogue(platform, differences)
        self.assertEqual(1, len(await diff_catalogue(platform, specs)))
        await apply_catalogue(platform, differences, prune=True)
        self.assertEqual([], await diff_catalogue(platform, specs))


class MoveVersionTest(TestCase):
    async def _platform(self, platform=None):
        platform = platform or MemoryPlatform()
        spec = {**small_catalogue()[VERSION], "state": "proposed"}
        await platform.create(StoredObject(Kind.ENTRY, VERSION, spec))
        return platform

    async def test_a_step_may_not_be_skipped(self):
        platform = await self._platform()
        await self.assert_raises_async(
            BadRequestError, move_version(platform, VERSION, VersionState.SERVING)
        )

    async def test_repeating_a_step_writes_nothing(self):
        platform = await self._platform()
        first = await move_version(platform, VERSION, VersionState.CANARY, 0.1)
        second = await move_version(platform, VERSION, VersionState.CANARY, 0.1)
        self.assertEqual(first.revision, second.revision)

    async def test_a_lost_reply_is_settled_by_reading_back(self):
        """If the write took effect and only its reply was lost, it has succeeded."""
        platform = await self._platform(_PlatformLosingReplies())
        stored = await move_version(platform, VERSION, VersionState.CANARY, 0.1)
        self.assertEqual("canary", stored.spec["state"])

    async def test_a_withdrawn_version_stays_withdrawn(self):
        platform = await self._platform()
        await move_version(platform, VERSION, VersionState.WITHDRAWN)
        await self.assert_raises_async(
            BadRequestError, move_version(platform, VERSION, VersionState.CANARY)
        )

    async def test_adding_a_name_that_is_taken_is_a_lost_race(self):
        platform = await self._platform()
        spec = small_catalogue()[VERSION]
        exc = await self.assert_raises_async(
            LostRaceError, add_entry(platform, VERSION, spec)
        )
        self.assertEqual(['state: stored "proposed", attempted "serving"'], exc.changes)


class EvacuationTest(TestCase):
    async def _platform(self):
        platform = MemoryPlatform()
        for name, data_centre in (("a", "mbeya"), ("b", "iringa")):
            spec = {
                "address": "10.0.0.1:1",
                "dataCentre": data_centre,
                "serves": ["advice"],
            }
            await platform.create(StoredObject(Kind.ENDPOINT, name, spec))
        return platform

    async def _in_use(self, platform):
        configuration = Configuration(ManualClock())
        for kind in (Kind.ENDPOINT, Kind.ENTRY):
            configuration.apply_listing(kind, await platform.list_all(kind))
        endpoints = configuration.catalogue.endpoints_of("advice")
        return sorted(endpoint.name for endpoint in endpoints)

    async def test_an_evacuated_data_centre_is_not_used_until_it_is_restored(self):
        platform = await self._platform()
        stored = await evacuate_data_centre(platform, "mbeya")
        self.assertEqual(stored, await evacuate_data_centre(platform, "mbeya"))
        self.assertEqual(["b"], await self._in_use(platform))
        await restore_data_centre(platform, "mbeya")
        self.assertEqual(["a", "b"], await self._in_use(platform))

    async def test_an_unknown_data_centre_is_refused(self):
        platform = await self._platform()
        for operation in (evacuate_data_centre, restore_data_centre):
            with ExpectedException(NotFoundError):
                await operation(platform, "nowhere")
