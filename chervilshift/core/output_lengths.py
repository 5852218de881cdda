"""Prediction of output lengths from completed requests."""

from chervilshift.core.jobs import Job

__all__ = ["OutputLengthPredictor"]

# Weights of a new sample above and below the average.
RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.1
MAX_KINDS = 10_000


class OutputLengthPredictor:
    """Asymmetric moving averages of output lengths by kind of request.

    The caller defines kinds, for example by customer and shared prompt
    prefix. The average rises quickly and falls slowly, because treating a
    long request as short does more harm than the reverse.
    """

    __slots__ = ("_lengths",)

    def __init__(self):
        self._lengths: dict[str, float] = {}

    def predict(self, kind: str, max_tokens: int) -> int:
        """Return the predicted output length in tokens.

        It is `max_tokens` for an unknown kind, and never more.
        """
        average = self._lengths.get(kind)
        if average is None:
            return max_tokens
        return min(max_tokens, round(average))

    def observe(self, job: Job, produced_tokens: int) -> None:
        """Record the output length of a completed job.

        The kind that was updated longest ago is dropped above `MAX_KINDS`.
        """
        if not job.kind:
            return
        previous = self._lengths.pop(job.kind, None)
        if previous is None:
            previous = float(produced_tokens)
        weight = RISE_WEIGHT if produced_tokens > previous else FALL_WEIGHT
        self._lengths[job.kind] = previous + weight * (
            produced_tokens - previous
        )
        if len(self._lengths) > MAX_KINDS:
            del self._lengths[next(iter(self._lengths))]
