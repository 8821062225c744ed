"""A randomized soak of whole hosts as processes, with faults from outside them."""
