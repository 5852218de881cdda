"""Recorded arrival traces, and how they were made.

`python -m bench.traces` writes them anew from their seeds. A trace has one
JSON object a line: time of arrival in seconds, customer, kind, region and
sizes in tokens. Short lookups share a system prompt per customer, narration
streams share one per customer too, and a few jobs are many times longer.
The two large customers come in bursts.
"""

import json
import random
from pathlib import Path

__all__ = ["USERS", "Arrival", "load_trace"]

FOLDER = Path(__file__).parent / "traces"
LENGTH_S = 90.0
CUSTOMERS = 5
LARGE = 2
BLOCK_TOKENS = 64
LONG = "long"

# Arrivals a second of each kind, per model worker.
RATES = {"lookup": 2.4, "narration": 0.7, LONG: 0.05}
PROMPTS = {"lookup": (320, 160), "narration": (640, 300), LONG: (512, 5000)}
OUTPUTS = {"lookup": (16, 60), "narration": (90, 220), LONG: (900, 1600)}
MAX_TOKENS = {"lookup": 128, "narration": 512, LONG: 2048}


class User:
    """One user's size and seed."""

    __slots__ = ("engines", "name", "seed")

    def __init__(self, *, name: str, engines: int, seed: int):
        self.name = name
        self.engines = engines
        self.seed = seed


USERS = (
    User(name="qurum", engines=6, seed=61),
    User(name="glenmorrow", engines=9, seed=91),
)


class Arrival:
    """One request of a trace."""

    __slots__ = (
        "at",
        "blocks",
        "customer",
        "kind",
        "max_tokens",
        "output_tokens",
        "prompt_tokens",
        "region",
    )

    def __init__(self, *, line: dict, number: int):
        self.at = line["at"]
        self.customer = line["customer"]
        self.kind = line["kind"]
        self.region = line["region"]
        self.prompt_tokens = line["prompt"]
        self.output_tokens = line["output"]
        self.max_tokens = MAX_TOKENS[self.kind]
        self.blocks = _blocks(line, number)

    @property
    def long(self) -> bool:
        """Whether this is one of the few long jobs."""
        return self.kind == LONG


def _blocks(line: dict, number: int) -> tuple[int, ...]:
    """Name the prompt's blocks: the shared ones, then its own."""
    whole = line["prompt"] // BLOCK_TOKENS
    shared = min(whole, line["shared"] // BLOCK_TOKENS)
    name = hash((int(line["customer"][1:]), len(line["kind"])))
    common = tuple(hash((name, block)) for block in range(shared))
    own = tuple(hash((number, block)) for block in range(whole - shared))
    return common + own


def load_trace(user: User, *, with_long: bool = True) -> list[Arrival]:
    """Return a user's arrivals in order of time."""
    path = FOLDER / f"{user.name}.jsonl"
    lines = path.read_text(encoding="utf-8").splitlines()
    arrivals = [
        Arrival(line=json.loads(text), number=number)
        for number, text in enumerate(lines)
    ]
    return [a for a in arrivals if with_long or not a.long]


def make_trace(user: User) -> list[dict]:
    """Draw a user's arrivals from the user's seed."""
    rng = random.Random(user.seed)
    lines = [
        _line(rng, kind, at)
        for kind, rate in RATES.items()
        for at in _times(rng, rate * user.engines)
    ]
    return sorted(lines, key=lambda line: line["at"])


def _times(rng: random.Random, rate: float) -> list[float]:
    times = []
    at = 0.0
    while (at := at + rng.expovariate(rate)) < LENGTH_S:
        times.append(round(at, 4))
    return times


def _line(rng: random.Random, kind: str, at: float) -> dict:
    shared, own = PROMPTS[kind]
    low, high = OUTPUTS[kind]
    # The large customers' bursts take turns of five seconds.
    burst = int(at / 5.0) % LARGE
    weights = [
        6 if number == burst else 2 if number < LARGE else 1
        for number in range(CUSTOMERS)
    ]
    (customer,) = rng.choices(range(CUSTOMERS), weights)
    return {
        "at": at,
        "customer": f"c{customer}",
        "kind": kind,
        "region": rng.choice(("west", "east")),
        "shared": shared,
        "prompt": shared + rng.randint(own // 4, own),
        "output": rng.randint(low, high),
    }


def main() -> None:
    """Write all traces."""
    FOLDER.mkdir(exist_ok=True)
    for user in USERS:
        text = "".join(json.dumps(line) + "\n" for line in make_trace(user))
        (FOLDER / f"{user.name}.jsonl").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
