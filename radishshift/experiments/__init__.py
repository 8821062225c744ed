"""Experiments that `radishshift-bench` runs, one a module."""
