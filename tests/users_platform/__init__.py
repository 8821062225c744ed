"""Tests of the adapter to the users' platform, over loopback."""
