"""Load of the other gateways, as one gateway computes it.

Control reports the load of all gateways, this one included as of one of its
last reports. The gateway subtracts what that report said.
"""

from collections import deque

from chervilshift.core.fleet.sync import EndpointLoad, LoadsDelta

__all__ = ["OtherLoads"]

# Reports kept until a reply includes them.
MAX_REPORTS = 64


class OtherLoads:
    """The load of all gateways, and this gateway's last reports.

    `source` and `cursor` are those of the last `LoadsDelta`.
    """

    __slots__ = ("_included", "_reports", "_seq", "_total", "cursor", "source")

    def __init__(self):
        self._seq = 0
        self._reports: deque[tuple[int, dict[str, EndpointLoad]]] = deque(
            maxlen=MAX_REPORTS
        )
        self._included: dict[str, EndpointLoad] = {}
        self._total: dict[str, EndpointLoad] = {}
        self.source = ""
        self.cursor = 0

    def record_report(self, loads: dict[str, EndpointLoad]) -> int:
        """Keep a report that is about to be sent; return its number."""
        self._seq += 1
        self._reports.append((self._seq, loads))
        return self._seq

    def apply(self, delta: LoadsDelta, included_seq: int) -> None:
        """Take over changes that include this gateway's `included_seq`.

        Changes that don't continue from the last ones are ignored, as when
        two replies overtake each other.
        """
        is_next = delta.source == self.source and delta.cursor >= self.cursor
        if not delta.full and not is_next:
            return
        if delta.full:
            self._total = {}
        self.source, self.cursor = delta.source, delta.cursor
        for endpoint_id, load in delta.loads.items():
            if load is None:
                self._total.pop(endpoint_id, None)
            else:
                self._total[endpoint_id] = load
        if not included_seq:
            self._included = {}
        while self._reports and self._reports[0][0] <= included_seq:
            seq, loads = self._reports.popleft()
            self._included = loads if seq == included_seq else {}

    def loads(self) -> dict[str, EndpointLoad]:
        """Return the load of the other gateways by endpoint id."""
        idle = EndpointLoad()
        return {
            endpoint_id: _difference(
                total, self._included.get(endpoint_id, idle)
            )
            for endpoint_id, total in self._total.items()
        }


def _difference(total: EndpointLoad, own: EndpointLoad) -> EndpointLoad:
    return EndpointLoad(
        active=max(0, total.active - own.active),
        prefill_tokens=max(0, total.prefill_tokens - own.prefill_tokens),
    )
