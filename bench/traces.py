"""Recorded request traces, and their generator.

`python -m bench.traces` writes them again from their seeds. A trace has one
JSON object per line: arrival time in seconds, customer, kind, region, and
sizes in tokens, where `prompt` includes `shared`. The short lookups of a
customer share a system prompt, and so do its narration streams; a few long
jobs are many times longer. The two large customers send in bursts.
"""

import json
import random
from pathlib import Path

__all__ = ["USERS", "Arrival", "load_trace"]

TRACE_FOLDER = Path(__file__).parent / "traces"
TRACE_LENGTH_S = 90.0
CUSTOMER_COUNT = 5
LARGE_CUSTOMER_COUNT = 2
BLOCK_TOKENS = 64
LONG_KIND = "long"

# Requests per second and engine, by kind.
ARRIVAL_RATES = {"lookup": 2.4, "narration": 0.7, LONG_KIND: 0.05}
# Length of the shared prompt prefix and maximum length of the rest.
PROMPT_TOKENS = {
    "lookup": (320, 160),
    "narration": (640, 300),
    LONG_KIND: (512, 5000),
}
# Minimum and maximum output length.
OUTPUT_TOKENS = {
    "lookup": (16, 60),
    "narration": (90, 220),
    LONG_KIND: (900, 1600),
}
# Output limit stated in the request.
MAX_TOKENS = {"lookup": 128, "narration": 512, LONG_KIND: 2048}


class User:
    """One user of the router, whose trace has requests of its customers.

    `engines` is the number of its engines, `seed` that of its trace.
    """

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
    """One request of a trace.

    `arrived_at` is in seconds from the start of the trace, `blocks` the
    hashes of the full blocks of its prompt.
    """

    __slots__ = (
        "arrived_at",
        "blocks",
        "customer",
        "kind",
        "max_tokens",
        "output_tokens",
        "prompt_tokens",
        "region",
    )

    def __init__(self, *, record: dict, index: int):
        self.arrived_at = record["at"]
        self.customer = record["customer"]
        self.kind = record["kind"]
        self.region = record["region"]
        self.prompt_tokens = record["prompt"]
        self.output_tokens = record["output"]
        self.max_tokens = MAX_TOKENS[self.kind]
        self.blocks = _block_hashes(record, index)

    @property
    def long(self) -> bool:
        """Whether this is one of the few long jobs."""
        return self.kind == LONG_KIND


def _block_hashes(record: dict, index: int) -> tuple[int, ...]:
    """Return the hashes of the shared blocks, then of the request's own.

    Only integers are hashed, as hashes of strings differ between processes.
    The length of its name stands for a kind; all lengths are different.
    """
    block_count = record["prompt"] // BLOCK_TOKENS
    shared_count = min(block_count, record["shared"] // BLOCK_TOKENS)
    prefix = hash((int(record["customer"][1:]), len(record["kind"])))
    shared = tuple(hash((prefix, block)) for block in range(shared_count))
    own = tuple(
        hash((index, block)) for block in range(block_count - shared_count)
    )
    return shared + own


def load_trace(user: User, *, with_long: bool = True) -> list[Arrival]:
    """Return a user's arrivals in order of time."""
    path = TRACE_FOLDER / f"{user.name}.jsonl"
    lines = path.read_text(encoding="utf-8").splitlines()
    arrivals = [
        Arrival(record=json.loads(line), index=index)
        for index, line in enumerate(lines)
    ]
    return [a for a in arrivals if with_long or not a.long]


def make_trace(user: User) -> list[dict]:
    """Generate the records of a user's trace from the user's seed."""
    rng = random.Random(user.seed)
    records = [
        _draw_record(rng, kind, at)
        for kind, rate in ARRIVAL_RATES.items()
        for at in _draw_times(rng, rate * user.engines)
    ]
    return sorted(records, key=lambda record: record["at"])


def _draw_times(rng: random.Random, rate: float) -> list[float]:
    """Draw arrival times in seconds at `rate` requests per second."""
    times = []
    at = 0.0
    while (at := at + rng.expovariate(rate)) < TRACE_LENGTH_S:
        times.append(round(at, 4))
    return times


def _draw_record(rng: random.Random, kind: str, at: float) -> dict:
    shared_tokens, own_tokens = PROMPT_TOKENS[kind]
    min_output, max_output = OUTPUT_TOKENS[kind]
    # The large customers burst in turn, for five seconds each.
    bursting = int(at / 5.0) % LARGE_CUSTOMER_COUNT
    weights = [
        6 if number == bursting else 2 if number < LARGE_CUSTOMER_COUNT else 1
        for number in range(CUSTOMER_COUNT)
    ]
    (customer,) = rng.choices(range(CUSTOMER_COUNT), weights)
    return {
        "at": at,
        "customer": f"c{customer}",
        "kind": kind,
        "region": rng.choice(("west", "east")),
        "shared": shared_tokens,
        "prompt": shared_tokens + rng.randint(own_tokens // 4, own_tokens),
        "output": rng.randint(min_output, max_output),
    }


def main() -> None:
    """Write all traces."""
    TRACE_FOLDER.mkdir(exist_ok=True)
    for user in USERS:
        text = "".join(
            json.dumps(record) + "\n" for record in make_trace(user)
        )
        (TRACE_FOLDER / f"{user.name}.jsonl").write_text(
            text, encoding="utf-8"
        )


if __name__ == "__main__":
    main()
