"""Plays seeds: `python -m tests.soak --seeds 50 [--first 1] [--seconds 20]`.

Exits with 1 if any seed broke a promise; the folder of such a run, with its
logs and settings, is kept and named.
"""

import shutil
import sys
import tempfile
from pathlib import Path

import fire

from tests.soak.play import play


def main(seeds: int = 50, first: int = 1, seconds: float = 20.0) -> None:
    """Play `seeds` seeds from `first` on, each for `seconds` of faults."""
    failed = []
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        outcome = play(seed, seconds, folder)
        ends = dict(outcome.history.statuses())
        faults = sum(outcome.history.faults.values())
        said = "; ".join(outcome.broken) or "kept"
        print(f"seed {seed}: {said} ({faults} faults, {ends})", flush=True)
        if outcome.broken:
            failed.append(seed)
            print(f"  logs in {folder}")
        else:
            shutil.rmtree(folder)
    print(f"{seeds - len(failed)} kept, {len(failed)} broken: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
