"""Tests of the request path of a host and of the state that hosts share."""
