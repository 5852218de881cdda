"""What callers, endpoints, operators and the cloud saw in one run."""

from collections import Counter, defaultdict

from tests.platform.standin import Endpoint

__all__ = ["Answer", "ConfigRead", "History"]


class Answer:
    """One request and what its client got.

    `status` is None where no answer began; `whole` is false where it broke
    off. `owed` is true while the gateway was stopping as planned and nothing
    else had happened to it: such a request must be answered.
    """

    __slots__ = (
        "body",
        "gateway",
        "headers",
        "incarnation",
        "owed",
        "path",
        "request_id",
        "status",
        "whole",
    )

    def __init__(self, *, request_id: str, path: str, gateway: str):
        self.request_id = request_id
        self.path = path
        self.gateway = gateway
        self.incarnation = 0
        self.status: int | None = None
        self.headers: dict[str, bytes] = {}
        self.body = b""
        self.whole = False
        self.owed = False


class ConfigRead:
    """A read of the configuration; `acked` was acknowledged before it."""

    __slots__ = ("acked", "control", "version")

    def __init__(self, *, acked: int, version: int, control: str):
        self.acked = acked
        self.version = version
        self.control = control


class History:
    """Grows while a run goes on; the checks read it."""

    def __init__(self):
        self.answers: list[Answer] = []
        self.endpoints: list[Endpoint] = []
        self.reads: list[ConfigRead] = []
        self.acked_version = 0
        self.cloud_calls: list[tuple[str, int, str, dict]] = []
        # (gateway, incarnation) -> newest version whose route it knew, and
        # the first one that it denied after that.
        self.known: defaultdict[tuple[str, int], int] = defaultdict(int)
        self.denied: dict[tuple[str, int], int] = {}
        # How often each kind of fault was played, and what the processes
        # themselves did wrong.
        self.faults: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()

    def statuses(self) -> Counter[str]:
        """Return how the requests ended."""
        return Counter(
            "none"
            if a.status is None
            else f"{a.status}{'' if a.whole else ' broken'}"
            for a in self.answers
        )

    def runs(self) -> Counter[str]:
        """Return how often endpoints began each request."""
        return Counter(
            headers[b"request-id"].decode()
            for endpoint in self.endpoints
            for headers in endpoint.runs
        )
