"""Tests of the patches between two specs of an object."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshift.errors import PatchError
from radishshift.spec_patches import SpecPatch, apply_patch, make_patch
from tests.cases import TestCase

VALUES = st.one_of(st.none(), st.booleans(), st.integers(-9, 9), st.text(max_size=2))
ENTRIES = st.lists(
    st.fixed_dictionaries({"name": st.sampled_from("abcdef"), "value": VALUES}),
    max_size=6,
)
FIELDS = st.one_of(VALUES, ENTRIES, st.lists(VALUES, max_size=3))
SPECS = st.dictionaries(st.sampled_from(["routes", "services", "version"]), FIELDS)


def _wire(patch):
    return msgspec.json.decode(msgspec.json.encode(patch), type=SpecPatch)


def _has_number_for_boolean(old, new):
    """Return whether the specs have numbers and booleans that compare as equal."""
    return any(text in repr(spec) for spec in (old, new) for text in ("True", "False"))


def _routes(count):
    return [{"name": f"route-{number}", "service": "advice"} for number in range(count)]


class SpecPatchesTest(TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(SPECS, SPECS)
    def test_a_patch_leads_from_any_spec_to_any_other(self, old, new):
        patch = make_patch("main", (1, old), (2, new))
        if patch is None:
            self.assertTrue(_has_number_for_boolean(old, new))
        else:
            self.assertEqual(new, apply_patch(old, _wire(patch)))

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(SPECS, SPECS, SPECS)
    def test_a_patch_of_another_spec_is_refused_or_leads_to_the_same(
        self, old, new, other
    ):
        patch = make_patch("main", (1, old), (2, new))
        try:
            result = new if patch is None else apply_patch(other, _wire(patch))
        except PatchError:
            return
        self.assertEqual(new, result)

    def test_a_patch_is_as_long_as_what_changes(self):
        old = {"version": 1, "routes": _routes(4000)}
        new = {"version": 2, "routes": _routes(4001)}
        new["routes"][7] = {"name": "route-7", "service": "desk"}
        del new["routes"][3]
        patch = make_patch("main", (1, old), (2, new))
        self.assertLess(len(msgspec.json.encode(patch)), 300)

    def test_entries_that_stay_are_not_copied(self):
        old = {"routes": _routes(3)}
        new = {"routes": _routes(4)}
        patched = apply_patch(old, make_patch("main", (1, old), (2, new)))
        self.assertIs(old["routes"][0], patched["routes"][0])

    def test_entries_in_another_order_are_sent_as_a_whole(self):
        old = {"routes": _routes(3)}
        new = {"routes": _routes(3)[::-1]}
        patch = make_patch("main", (1, old), (2, new))
        self.assertEqual({}, patch.lists)
        self.assertEqual(new, apply_patch(old, patch))
