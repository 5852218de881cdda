"""The answer to one request, joined exactly from one or more attempts."""

from chervilshift.errors import StreamLost

__all__ = ["StreamBuffer"]

ATTEMPTS_PER_EPOCH = 1000


class StreamBuffer:
    """Tokens produced so far, addressed by offset.

    Only the current attempt may add tokens; doubled ones are dropped, and
    a gap is an error. The stream is whole only after its final marker.
    Attempts are numbered by the owner's epoch, so that those of an owner
    that lost the stream are never taken for those of its successor.
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
        """Start a new attempt; return its number and its first offset."""
        self.attempt += 1
        return self.attempt, len(self.tokens)

    def add(
        self, attempt: int, offset: int, tokens: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Add tokens of an attempt; return those that are new.

        Raises StreamLost where the tokens leave a gap.
        """
        if attempt != self.attempt or self.done:
            return ()
        if offset > len(self.tokens):
            raise StreamLost(
                request_id=self.request_id,
                reason=f"gap between {len(self.tokens)} and {offset}",
            )
        new = tokens[len(self.tokens) - offset :]
        self.tokens.extend(new)
        return new

    def finish(self, attempt: int, total: int, reason: str) -> bool:
        """Take the final marker; tell whether the stream is whole now."""
        if attempt != self.attempt or total != len(self.tokens):
            return False
        self.done = True
        self.finish_reason = reason
        return True
