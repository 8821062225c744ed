"""Experiments run by `radishshift-bench`, one per module."""
