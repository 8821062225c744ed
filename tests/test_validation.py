"""Fuzz tests of settings and catalogue entries: bad input raises SettingsError only."""

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

RANDOM_SEEDS = os.environ.get("RADISHSHIFT_FUZZ") == "1"
FUZZ_SETTINGS = settings(
    derandomize=not RANDOM_SEEDS,
    max_examples=5_000 if RANDOM_SEEDS else 200,
    deadline=None,
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda parts: (
        st.lists(parts, max_size=3)
        | st.dictionaries(st.text(max_size=8), parts, max_size=3)
    ),
    max_leaves=12,
)
KEYS = ["type", "owner", "class", "model", "state", "limits", "keyDigests", "quality"]


class FuzzValidationTest(TestCase):
    @FUZZ_SETTINGS
    @given(st.text(max_size=200))
    def test_fuzz_any_text_as_settings(self, text):
        try:
            read_settings(text)
        except SettingsError as exc:
            self.assertTrue(exc.problems)

    @FUZZ_SETTINGS
    @given(
        st.sampled_from(sorted(small_catalogue())), st.sampled_from(KEYS), JSON_VALUES
    )
    def test_fuzz_one_wrong_value_in_an_entry(self, name, key, value):
        """`problems` reports something exactly when msgspec can't convert the value."""
        spec = {**small_catalogue()[name], key: value}
        reported = list(problems(spec, EntrySpec, name))
        try:
            msgspec.convert(spec, EntrySpec)
        except msgspec.ValidationError:
            self.assertTrue(reported)
            self.assertRaises(SettingsError, read_entry, name, spec)
        else:
            self.assertEqual([], reported)

    @FUZZ_SETTINGS
    @given(st.dictionaries(st.sampled_from(["name", "platform", "times"]), JSON_VALUES))
    def test_fuzz_wrong_parts_of_settings(self, values):
        reported = list(problems(values, HostSettings, "host"))
        self.assertTrue(reported)
