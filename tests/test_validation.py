"""Fuzz tests of what is read from files: a problem is told, nothing else happens."""

import os

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshift.errors import SettingsError
from radishshift.manifests import EntrySpec, read_entry
from radishshift.settings import HostSettings, read_settings
from radishshift.standins.deployment import small_catalogue
from radishshift.validation import problems
from tests.cases import TestCase

FREE = os.environ.get("RADISHSHIFT_FUZZ") == "1"
FUZZ = settings(
    derandomize=not FREE, max_examples=5_000 if FREE else 200, deadline=None
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda parts: (
        st.lists(parts, max_size=3)
        | st.dictionaries(st.text(max_size=8), parts, max_size=3)
    ),
    max_leaves=12,
)
KEYS = ["type", "owner", "class", "model", "state", "limits", "keyDigests", "quality"]


class FuzzValidationTest(TestCase):
    @FUZZ
    @given(st.text(max_size=200))
    def test_fuzz_any_text_as_settings(self, text):
        try:
            read_settings(text)
        except SettingsError as exc:
            self.assertTrue(exc.problems)

    @FUZZ
    @given(st.sampled_from(sorted(small_catalogue())), st.sampled_from(KEYS), JSON)
    def test_fuzz_one_wrong_value_in_an_entry(self, name, key, value):
        """What the walk lets pass must convert, and what it refuses must not."""
        spec = {**small_catalogue()[name], key: value}
        found = list(problems(spec, EntrySpec, name))
        try:
            msgspec.convert(spec, EntrySpec)
        except msgspec.ValidationError:
            self.assertTrue(found)
            self.assertRaises(SettingsError, read_entry, name, spec)
        else:
            self.assertEqual([], found)

    @FUZZ
    @given(st.dictionaries(st.sampled_from(["name", "platform", "times"]), JSON))
    def test_fuzz_wrong_parts_of_settings(self, values):
        found = list(problems(values, HostSettings, "host"))
        self.assertTrue(found)
