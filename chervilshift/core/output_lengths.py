"""Predicts how long an answer will be from what was produced before."""

from chervilshift.core.jobs import Job

__all__ = ["OutputLengthPredictor"]

RISE = 0.5
FALL = 0.1
MAX_KINDS = 10_000


class OutputLengthPredictor:
    """Learns an upper-leaning average of answer sizes per kind of request.

    A kind is what the caller of `predict` says it is, for instance customer
    and shared prompt prefix. The estimate rises quickly and falls slowly,
    since taking long work for short does more harm than the reverse.
    """

    __slots__ = ("_sizes",)

    def __init__(self):
        self._sizes: dict[str, float] = {}

    def predict(self, kind: str, max_tokens: int) -> int:
        """Return the predicted answer size in tokens."""
        learned = self._sizes.get(kind)
        if learned is None:
            return max_tokens
        return min(max_tokens, round(learned))

    def observe(self, job: Job, produced_tokens: int) -> None:
        """Take note of the size of a finished answer."""
        if not job.kind:
            return
        known = self._sizes.pop(job.kind, None)
        if known is None:
            known = float(produced_tokens)
        weight = RISE if produced_tokens > known else FALL
        self._sizes[job.kind] = known + weight * (produced_tokens - known)
        if len(self._sizes) > MAX_KINDS:
            del self._sizes[next(iter(self._sizes))]
