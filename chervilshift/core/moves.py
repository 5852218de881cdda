"""Decisions on moving running streams to another endpoint."""

__all__ = ["must_move", "worth_moving"]

# Time reserved for the move itself before the endpoint leaves.
MOVE_MARGIN_S = 2.0
# Used while the endpoint's time between tokens is unknown.
DEFAULT_TOKEN_GAP_S = 0.03
# Streams are not moved off endpoints below this slowness.
MIN_SLOWNESS = 1.8
PREFILL_S_PER_TOKEN = 0.0001
MOVE_OVERHEAD_S = 0.1
# A move must save at least this multiple of its cost.
MIN_GAIN_RATIO = 1.5


def must_move(
    leaves_in_s: float | None, remaining_tokens: int, gap_s: float
) -> bool:
    """Return whether a stream cannot finish before its endpoint leaves.

    `leaves_in_s` is None for an endpoint that stays, `gap_s` its time
    between tokens or 0.0 if unknown.
    """
    if leaves_in_s is None:
        return False
    needed_s = max(1, remaining_tokens) * (gap_s or DEFAULT_TOKEN_GAP_S)
    return leaves_in_s < needed_s + MOVE_MARGIN_S


def worth_moving(
    slowness: float, gap_s: float, remaining_tokens: int, context_tokens: int
) -> bool:
    """Return whether a stream at a slow endpoint gains from a move.

    `slowness` is how many times slower the endpoint is than its peers,
    `gap_s` its time between tokens, 0.0 if unknown. The cost of a move is
    the prefill of the context at the new endpoint.
    """
    if slowness < MIN_SLOWNESS or not gap_s:
        return False
    saved_s = remaining_tokens * gap_s * (1.0 - 1.0 / slowness)
    cost_s = MOVE_OVERHEAD_S + context_tokens * PREFILL_S_PER_TOKEN
    return saved_s > MIN_GAIN_RATIO * cost_s
