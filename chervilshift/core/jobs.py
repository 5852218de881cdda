"""A request as the policy sees it."""

import zlib

__all__ = ["Job", "prefix_blocks"]

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4


class Job:
    """One request waiting for, or working at, an endpoint.

    Sizes are in tokens, times in monotonic seconds. `blocks` identifies the
    prompt's prefixes, shortest first; `excluded_endpoints` are those that
    failed it before; behind `deadline_at` the job waits no longer. A job has
    `response_started` once its caller may have seen some of its answer.
    """

    __slots__ = (
        "arrived_at",
        "response_started",
        "blocks",
        "customer",
        "deadline_at",
        "excluded_endpoints",
        "id",
        "kind",
        "long",
        "predicted_tokens",
        "prompt_tokens",
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
        """What the job counts in the fair sharing between customers."""
        return max(1, self.prompt_tokens + self.predicted_tokens)


def prefix_blocks(text: str) -> tuple[int, ...]:
    """Hash each whole block of `text` together with all before it."""
    blocks = []
    chained = 0
    for end in range(BLOCK_CHARS, len(text) + 1, BLOCK_CHARS):
        block = text[end - BLOCK_CHARS : end]
        chained = zlib.crc32(block.encode(), chained)
        blocks.append(chained)
    return tuple(blocks)
