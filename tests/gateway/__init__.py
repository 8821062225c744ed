"""Tests of the path of a request on the platform, and of what hosts believe."""
