"""What clients, endpoints, operators and the cloud observed in a run."""

from collections import Counter, defaultdict

from tests.platform.standin import Endpoint

__all__ = ["Answer", "ConfigRead", "History"]


class Answer:
    """One request and the answer that its client received.

    `status` is None if no answer began, `complete` is false if it broke off.
    `answer_required` is true for a request that broke off although it was
    sent before any planned stop of the gateway began, and no unplanned fault
    was injected into the gateway meanwhile. `incarnation` is that of the
    gateway.
    """

    __slots__ = (
        "after",
        "answer_required",
        "begun_version",
        "body",
        "complete",
        "gateway",
        "headers",
        "incarnation",
        "path",
        "request_id",
        "status",
    )

    def __init__(self, *, request_id: str, path: str, gateway: str):
        self.request_id = request_id
        self.path = path
        self.gateway = gateway
        self.incarnation = 0
        self.status: int | None = None
        self.headers: dict[str, bytes] = {}
        self.body = b""
        self.complete = False
        self.answer_required = False
        # A stream that is taken up: its last known event, and the version of
        # the endpoint that began it.
        self.after = 0
        self.begun_version = ""

    @property
    def version(self) -> str:
        """The version of the endpoint whose head the answer has, if any."""
        return self.headers.get("x-version", b"").decode()

    def event_ids(self) -> list[bytes]:
        """Return the ids of the events received."""
        lines = self.body.splitlines()
        return [line[4:] for line in lines if line.startswith(b"id: ")]


class ConfigRead:
    """A read of the configuration.

    `acked_version` is the newest version acknowledged before the read.
    """

    __slots__ = ("acked_version", "control", "version")

    def __init__(self, *, acked_version: int, version: int, control: str):
        self.acked_version = acked_version
        self.version = version
        self.control = control


class History:
    """The record of a run, which the checks read afterwards."""

    def __init__(self):
        self.answers: list[Answer] = []
        self.endpoints: list[Endpoint] = []
        self.config_reads: list[ConfigRead] = []
        self.acked_version = 0
        # Path, fencing token, holder and body of each call.
        self.cloud_calls: list[tuple[str, int, str, dict]] = []
        # By (gateway, incarnation): the newest version whose route it knew,
        # and a version not newer than that whose route it answered with 404
        # afterwards.
        self.newest_known_version: defaultdict[tuple[str, int], int] = (
            defaultdict(int)
        )
        self.denied_version: dict[tuple[str, int], int] = {}
        # Counts of injected faults by name, and of failures of the
        # processes themselves by description.
        self.faults: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()

    def statuses(self) -> Counter[str]:
        """Return the count of requests by status."""
        return Counter(
            "none"
            if a.status is None
            else f"{a.status}{'' if a.complete else ' broken'}"
            for a in self.answers
        )

    def run_counts(self) -> Counter[str]:
        """Return how often endpoints started each request."""
        return Counter(
            headers[b"request-id"].decode()
            for endpoint in self.endpoints
            for headers in endpoint.runs
        )
