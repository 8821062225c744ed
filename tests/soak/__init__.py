"""A randomized soak test of host processes, with faults injected from outside."""
