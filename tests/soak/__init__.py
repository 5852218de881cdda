"""A randomized soak: real processes, faults from outside, promises checked.

`python -m tests.soak --seeds 50` plays fifty seeds; see `--help`.
"""
