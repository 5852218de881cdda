"""Which requests a gateway that stops still passes on to endpoints."""

__all__ = ["Stopping"]

# A busy process learns late that it is to stop. Requests that may be cut off
# are refused this long before the last client with a cached lookup may come.
LATE_START_MARGIN_S = 0.2


class Stopping:
    """The rest of a planned stop; times are monotonic.

    Clients with a cached lookup are served until `refuse_at`. What is still
    being served at `cut_at` is cut off.
    """

    __slots__ = ("cut_at", "refuse_at")

    def __init__(self, *, refuse_at: float, cut_at: float):
        self.refuse_at = refuse_at
        self.cut_at = cut_at

    def refuses_all(self, now: float) -> bool:
        """Whether no request is passed on any more."""
        return now > self.refuse_at

    def takes(self, now: float, needs_s: float, *, repeatable: bool) -> bool:
        """Whether a request that may need `needs_s` may begin now.

        One that may not be repeated has to end before it would be cut off:
        its client couldn't know whether it has run. So has one that comes so
        late that its client should have asked for another gateway.
        """
        if self.refuses_all(now):
            return False
        is_early = now <= self.refuse_at - LATE_START_MARGIN_S
        return (repeatable and is_early) or now + needs_s <= self.cut_at
