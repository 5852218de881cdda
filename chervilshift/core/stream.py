"""Output of one request, assembled from one or more attempts."""

from chervilshift.errors import StreamLost

__all__ = ["StreamBuffer"]

ATTEMPTS_PER_EPOCH = 1000


class StreamBuffer:
    """Tokens produced so far, addressed by offset.

    Only the current attempt may add tokens; duplicates are dropped, and a
    gap is an error. The output is complete only after its final marker.
    Attempt numbers include the owner's epoch, so that attempts of a
    superseded owner cannot be mistaken for those of its successor.
    """

    __slots__ = ("attempt", "done", "finish_reason", "request_id", "tokens")

    def __init__(
        self,
        *,
        request_id: str,
        epoch: int = 0,
        tokens: tuple[str, ...] = (),
    ):
        self.request_id = request_id
        self.tokens = list(tokens)
        self.attempt = epoch * ATTEMPTS_PER_EPOCH
        self.done = False
        self.finish_reason = ""

    def begin_attempt(self) -> tuple[int, int]:
        """Start a new attempt; return its number and first token offset."""
        self.attempt += 1
        return self.attempt, len(self.tokens)

    def add(
        self, attempt: int, offset: int, tokens: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Add tokens of an attempt from `offset` on; return the new ones.

        Tokens of other than the current attempt are ignored. Raises
        StreamLost if tokens before `offset` are missing.
        """
        if attempt != self.attempt or self.done:
            return ()
        if offset > len(self.tokens):
            raise StreamLost(
                request_id=self.request_id,
                reason=f"tokens missing from {len(self.tokens)} to {offset}",
            )
        new = tokens[len(self.tokens) - offset :]
        self.tokens.extend(new)
        return new

    def finish(self, attempt: int, total: int, reason: str) -> bool:
        """Process the final marker; return whether the output is complete.

        `total` is the length of the whole output in tokens, including those
        of earlier attempts.
        """
        if attempt != self.attempt or total != len(self.tokens):
            return False
        self.done = True
        self.finish_reason = reason
        return True
