"""Runs seeds: `python -m tests.soak --seeds 50 [--first 1] [--seconds 20]`.

Exits with 1 if a promise was broken at any seed. The folder of such a run,
with its logs and settings, is kept and its path printed.
"""

import shutil
import sys
import tempfile
from pathlib import Path

import fire

from tests.soak.play import play


def main(seeds: int = 50, first: int = 1, seconds: float = 20.0) -> None:
    """Run `seeds` seeds from `first` on, each with `seconds` of faults."""
    failed = []
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        outcome = play(seed, seconds, folder)
        statuses = dict(outcome.history.statuses())
        fault_count = sum(outcome.history.faults.values())
        verdict = "; ".join(outcome.broken) or "kept"
        print(
            f"seed {seed}: {verdict} ({fault_count} faults, {statuses})",
            flush=True,
        )
        if outcome.broken:
            failed.append(seed)
            print(f"  logs in {folder}")
        else:
            shutil.rmtree(folder)
    print(f"{seeds - len(failed)} kept, {len(failed)} broken: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
