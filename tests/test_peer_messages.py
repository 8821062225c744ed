"""Tests of the keys that sign the messages between hosts."""

import tempfile
from pathlib import Path

from radishshift.errors import SettingsError
from radishshift.peer_messages import load_peer_keys
from tests.cases import TestCase

LONG_KEY = "k" * 16


class PeerKeysTest(TestCase):
    def _path(self, text):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "keys"
        path.write_bytes(text)
        return str(path)

    def test_a_key_file_without_long_keys_is_refused(self):
        """An empty key would let anybody sign as a host."""
        for text in (b"", b"\n \n", b"short", LONG_KEY.encode() + b"\nshort", b"\xff"):
            with self.subTest(text):
                self.assertRaises(SettingsError, load_peer_keys, self._path(text))

    def test_blank_lines_between_keys_are_no_keys(self):
        keys = load_peer_keys(self._path(f"{LONG_KEY}\n\n  \n{LONG_KEY}2\n".encode()))
        self.assertEqual((LONG_KEY.encode(), f"{LONG_KEY}2".encode()), keys.keys)
