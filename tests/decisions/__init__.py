"""Tests of decisions without input or output."""
