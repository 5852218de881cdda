"""A randomized soak test: real processes under injected faults.

`python -m tests.soak --seeds 50` runs fifty seeds; see `--help`. After each
run, checks compare its history with what the product promises.
"""
