"""Clients that read event streams and reconnect like ordinary ones."""

import threading
import time

from chervilshift.standins.engine import expected_text
from tests.cluster import WAIT_S, Caller, Cluster, Stream

__all__ = ["Follower", "asked_text", "follow"]

RECONNECT_DELAY_S = 0.1


class Follower(threading.Thread):
    """Reads a stream to its end and reconnects at any entry.

    Setting `gave_up` makes it stop reconnecting.
    """

    def __init__(self, cluster: Cluster, prompt: str, entry: str, **fields):
        super().__init__(daemon=True)
        self.prompt = prompt
        self.seed = fields.setdefault("seed", 11)
        self.size = fields["max_tokens"]
        self.stream: Stream | None = None
        self.errors: list[dict] = []
        self.reconnects = 0
        self._cluster = cluster
        self._entry = entry
        self._headers = fields.pop("headers", None)
        self._fields = fields
        self.gave_up = threading.Event()

    @property
    def expected(self) -> str:
        return asked_text(self.prompt, self.seed, self.size)

    @property
    def text(self) -> str:
        return self.stream.text if self.stream else ""

    def run(self) -> None:
        caller = self._cluster.caller(self._entry)
        self.stream = caller.chat(self.prompt, self._headers, **self._fields)
        self.stream.read()
        deadline = time.monotonic() + WAIT_S
        while not self.stream.done and time.monotonic() < deadline:
            if self.gave_up.is_set():
                return
            self._reconnect()

    def _reconnect(self) -> None:
        time.sleep(RECONNECT_DELAY_S)
        for entry in tuple(self._cluster.entries):
            if self.stream.error:
                self.errors.append(self.stream.error)
            self.reconnects += 1
            self.stream = self._reopen(self._cluster.caller(entry))
            self.stream.read()
            if self.stream.done:
                return

    def _reopen(self, caller: Caller) -> Stream:
        if self.stream.request_id:
            return caller.resume(self.stream)
        return caller.chat(self.prompt, self._headers, **self._fields)

    def check(self) -> None:
        """Assert that the whole answer came, without repeated events."""
        self.join(WAIT_S)
        assert self.stream.done, (self.text, self.errors, self.stream.error)
        assert self.text == self.expected
        assert len(set(self.stream.ids)) == len(self.stream.ids)


def asked_text(prompt: str, seed: int, size: int) -> str:
    """Return the expected answer of `size` tokens to a user's prompt."""
    return expected_text(f"user: {prompt}", seed, size)


def follow(cluster: Cluster, prompt: str, entry: str, **fields) -> Follower:
    """Start a follower and wait until it has received some text."""
    follower = Follower(cluster, prompt, entry, **fields)
    follower.start()
    deadline = time.monotonic() + WAIT_S
    while len(follower.text) < 20 and time.monotonic() < deadline:
        time.sleep(0.01)
    assert follower.text, follower.stream and follower.stream.error
    return follower
