"""When a running stream is worth moving to another endpoint."""

__all__ = ["must_move", "worth_moving"]

# Left for the move itself before the endpoint goes.
MOVE_MARGIN_S = 2.0
USUAL_GAP_S = 0.03
MIN_SLOWNESS = 1.8
PREFILL_S_PER_TOKEN = 0.0001
MOVE_OVERHEAD_S = 0.1
# A move must save this multiple of what it costs.
MIN_GAIN = 1.5


def must_move(
    left_s: float | None, remaining_tokens: int, gap_s: float
) -> bool:
    """Tell whether a stream can't finish before its endpoint goes.

    `left_s` is None for an endpoint that stays.
    """
    if left_s is None:
        return False
    needed_s = max(1, remaining_tokens) * (gap_s or USUAL_GAP_S)
    return left_s < needed_s + MOVE_MARGIN_S


def worth_moving(
    slowness: float, gap_s: float, remaining_tokens: int, context_tokens: int
) -> bool:
    """Tell whether a stream at a slow endpoint gains by moving.

    `slowness` is the endpoint's against its peers, `gap_s` its time between
    tokens. The cost is computing the context again elsewhere.
    """
    if slowness < MIN_SLOWNESS or not gap_s:
        return False
    saved_s = remaining_tokens * gap_s * (1.0 - 1.0 / slowness)
    cost_s = MOVE_OVERHEAD_S + context_tokens * PREFILL_S_PER_TOKEN
    return saved_s > MIN_GAIN * cost_s
