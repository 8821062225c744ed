"""Tests, one module for each of the package's."""
