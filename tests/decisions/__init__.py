"""Tests of decision logic without I/O."""
