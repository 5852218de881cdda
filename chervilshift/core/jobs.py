"""Requests as the scheduler sees them."""

import zlib

__all__ = ["Job", "prefix_blocks"]

CACHE_BLOCK_CHARS = 256
# Token counts of prompts are estimated from their length.
CHARS_PER_TOKEN = 4


class Job:
    """One request that is queued for or in flight at an endpoint.

    Times are in monotonic seconds. `target` names a model or service.
    `predicted_tokens` is the predicted length of the output. `blocks`
    identifies the prompt's prefixes, shortest first. `share` is the
    customer's weight in fair queueing, `kind` groups jobs of similar output
    length. `long` jobs are queued behind short ones and limited per endpoint.
    A queued job is dropped after `deadline_at`. Endpoints that failed the job
    are in `excluded_endpoints`. `response_started` is set once the caller
    may have received some of the output.
    """

    __slots__ = (
        "arrived_at",
        "blocks",
        "customer",
        "deadline_at",
        "excluded_endpoints",
        "id",
        "kind",
        "long",
        "predicted_tokens",
        "prompt_tokens",
        "response_started",
        "share",
        "target",
    )

    def __init__(
        self,
        *,
        id: str,
        customer: str,
        target: str,
        arrived_at: float,
        deadline_at: float,
        prompt_tokens: int = 0,
        predicted_tokens: int = 0,
        blocks: tuple[int, ...] = (),
        long: bool = False,
        share: float = 1.0,
        kind: str = "",
    ):
        self.id = id
        self.customer = customer
        self.target = target
        self.arrived_at = arrived_at
        self.deadline_at = deadline_at
        self.prompt_tokens = prompt_tokens
        self.predicted_tokens = predicted_tokens
        self.blocks = blocks
        self.long = long
        self.share = share
        self.kind = kind
        self.response_started = False
        self.excluded_endpoints: set[str] = set()

    @property
    def cost_tokens(self) -> int:
        """The job's cost in fair queueing: its predicted total tokens."""
        return max(1, self.prompt_tokens + self.predicted_tokens)


def prefix_blocks(text: str) -> tuple[int, ...]:
    """Return a hash of each prefix of `text` that ends with a whole block.

    Shortest prefix first; an incomplete last block is left out.
    """
    blocks = []
    prefix_hash = 0
    for end in range(CACHE_BLOCK_CHARS, len(text) + 1, CACHE_BLOCK_CHARS):
        block = text[end - CACHE_BLOCK_CHARS : end]
        prefix_hash = zlib.crc32(block.encode(), prefix_hash)
        blocks.append(prefix_hash)
    return tuple(blocks)
