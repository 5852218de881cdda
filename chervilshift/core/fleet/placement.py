"""Chooses the endpoint for an attempt by what it would cost the callers.

A gateway counts its own work at once and other gateways' work as control
last told it. For model engines the cost is the predicted first token
(distance, prompt tokens to be read before it, crowding) and interference: a
prompt delays the tokens of the streams that run beside it, so long prompts
keep away from long streams and the other way round. For plain services it
is the predicted wait for a free slot.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

from chervilshift.core.fleet.model import (
    READY,
    SILENT,
    EndpointRecord,
    ServiceSpec,
)
from chervilshift.core.fleet.sync import EndpointLoad

__all__ = ["Choice", "Endpoint", "Placed", "Placement", "Work"]

# Prompt tokens a second that a current engine reads; learned per endpoint.
PREFILL_TOKENS_PER_S = 80_000.0
# What one running request adds to another's first token, in seconds.
CROWDING_S = 0.0005
# Typical plain call until an endpoint's own calls were seen, in seconds.
CALL_S = 0.06
# Prompt tokens that an engine reads between a stream's events without making
# them late: engines read in chunks, and a few chunks fit one allowed pause.
HARMLESS_TOKENS = 8_000
# What it costs to delay one running stream by a second beyond that, as
# seconds of a prompt's own wait.
HARM_WEIGHT = 0.5
# What a second of streaming costs beside an engine that reads all the time.
EXPOSURE_WEIGHT = 0.25
# An engine's time for one output token at a usual batch, in seconds.
TOKEN_S = 0.006
# A backlog of this many seconds counts as reading all the time.
READING_FULL_S = 0.1
# Weight of the newest sample in an engine's share of time spent reading.
READING_WEIGHT = 0.15
# One way between regions and back, with the transfer of a prompt.
REMOTE_S = 0.1
# An engine that is not the prompt's home has to win by this much.
AWAY_S = 0.03
# Prompt parts remembered per endpoint; about what its memory holds.
PARTS_KEPT = 400
# Weight of the newest observation in running means.
EWMA_WEIGHT = 0.2
SLOWNESS_MIN, SLOWNESS_MAX = 0.5, 10.0
# After a failure an endpoint rests; the rest doubles with each in a row.
REST_S, REST_MAX_S = 0.5, 4.0
# A failed call costs a caller about one more call.
FAILURE_COST_S = 0.3
# Silent to control, but still used where a reply came this recently.
TRUSTED_FOR_S = 3.0


class Work:
    """What an attempt asks of an endpoint.

    `parts` are (id, tokens) of the prompt in order; `tokens` is the whole
    prompt and `output_tokens` the most that may be produced. Plain calls
    have none of these.
    """

    __slots__ = ("output_tokens", "parts", "tokens")

    def __init__(
        self,
        *,
        tokens: int = 0,
        output_tokens: int = 0,
        parts: tuple[tuple[str, int], ...] = (),
    ):
        self.tokens = tokens
        self.output_tokens = output_tokens
        self.parts = parts

    @property
    def home_key(self) -> str:
        """The part that most decides where the prompt is cached."""
        shared = self.parts[:-1] or self.parts
        return shared[-1][0] if shared else ""


class Endpoint:
    """One endpoint as this gateway sees it."""

    __slots__ = (
        "_parts",
        "active",
        "call_s",
        "failure_rate",
        "failures",
        "others",
        "prefill_tokens",
        "reading",
        "record",
        "remote",
        "replied_at",
        "rests_until",
        "slowness",
    )

    def __init__(self, *, record: EndpointRecord, remote: bool):
        self.record = record
        self.remote = remote
        self.active = 0
        self.prefill_tokens = 0
        self.others = EndpointLoad()
        self.reading = 0.0
        self.slowness = 1.0
        self.call_s = CALL_S
        self.failure_rate = 0.0
        self.failures = 0
        self.rests_until = float("-inf")
        self.replied_at = float("-inf")
        self._parts: OrderedDict[str, None] = OrderedDict()

    @property
    def id(self) -> str:
        """The endpoint's identity."""
        return self.record.id

    def load(self) -> EndpointLoad:
        """Return this gateway's own work there."""
        return EndpointLoad(
            active=self.active, prefill_tokens=self.prefill_tokens
        )

    def total_active(self) -> int:
        """Return all gateways' requests there, as far as known."""
        return self.active + self.others.active

    def take_others(self, load: EndpointLoad) -> None:
        """Take other gateways' work, and sample how much is being read."""
        self.others = load
        queued = self.prefill_tokens + load.prefill_tokens
        busy = min(1.0, queued / PREFILL_TOKENS_PER_S / READING_FULL_S)
        self.reading += READING_WEIGHT * (busy - self.reading)

    def usable(self, now: float) -> bool:
        """Whether new work may be sent there."""
        if self.record.state == SILENT:
            return now - self.replied_at < TRUSTED_FOR_S
        return self.record.state == READY

    def uncached(self, work: Work, *, home: bool) -> int:
        """Return the prompt tokens that have to be read there."""
        cached = 0
        shared = len(work.parts) - 1
        for place, (part_id, tokens) in enumerate(work.parts):
            known = part_id in self._parts or (home and place < shared)
            if not known:
                break
            cached += tokens
        return max(0, work.tokens - cached)

    def remember(self, work: Work) -> None:
        """Note that a prompt's parts are now cached there."""
        for part_id, _ in work.parts:
            self._parts[part_id] = None
            self._parts.move_to_end(part_id)
        while len(self._parts) > PARTS_KEPT:
            self._parts.popitem(last=False)

    def succeeded(self, now: float) -> None:
        """Note a good reply."""
        self.replied_at = now
        self.failures = 0
        self.rests_until = float("-inf")
        self.failure_rate *= 1 - EWMA_WEIGHT

    def failed(self, now: float, *, rest: bool) -> None:
        """Note a failure; with `rest` nothing is sent for a while."""
        self.failure_rate += EWMA_WEIGHT * (1 - self.failure_rate)
        if rest:
            rest_s = min(REST_MAX_S, REST_S * 2**self.failures)
            self.rests_until = now + rest_s
            self.failures += 1

    def observe_first(self, predicted_s: float, actual_s: float) -> None:
        """Learn how much slower first tokens come than predicted."""
        ratio = actual_s / max(predicted_s, 0.01)
        ratio = min(SLOWNESS_MAX, max(SLOWNESS_MIN, ratio))
        self.slowness += EWMA_WEIGHT * (ratio - self.slowness)

    def observe_call(self, actual_s: float) -> None:
        """Learn how long plain calls take."""
        self.call_s += EWMA_WEIGHT * (actual_s - self.call_s)


class Choice:
    """An endpoint, the predicted wait there and what choosing it costs.

    `wait_s` is until the reply begins; `cost_s` adds what other requests
    lose. `unread_tokens` is the part of the prompt it is expected to read.
    """

    __slots__ = ("cost_s", "endpoint", "unread_tokens", "wait_s")

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        wait_s: float,
        cost_s: float,
        unread_tokens: int,
    ):
        self.endpoint = endpoint
        self.wait_s = wait_s
        self.cost_s = cost_s
        self.unread_tokens = unread_tokens


class Placed:
    """An attempt's work, counted at its endpoint while the block lasts."""

    __slots__ = ("_unread", "choice")

    def __init__(self, *, choice: Choice):
        self.choice = choice
        self._unread = 0

    @property
    def endpoint(self) -> Endpoint:
        """Where the attempt goes."""
        return self.choice.endpoint

    def __enter__(self) -> "Placed":
        self._unread = self.choice.unread_tokens
        self.endpoint.active += 1
        self.endpoint.prefill_tokens += self._unread
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.begun()
        self.endpoint.active -= 1

    def begun(self) -> None:
        """Note that the prompt is read."""
        self.endpoint.prefill_tokens -= self._unread
        self._unread = 0


class Placement:
    """All endpoints by service, and the choice among them.

    `regions` maps failure domains to regions; `region` is the gateway's.
    """

    __slots__ = ("_endpoints", "_region", "_regions")

    def __init__(self, *, region: str, regions: dict[str, str]):
        self._region = region
        self._regions = regions
        self._endpoints: dict[str, Endpoint] = {}

    def update(self, records: Iterable[EndpointRecord]) -> None:
        """Take the endpoints that control knows."""
        held, self._endpoints = self._endpoints, {}
        for record in records:
            known = held.get(record.id)
            if known is None or known.record.born_ms != record.born_ms:
                known = Endpoint(record=record, remote=self._is_remote(record))
            known.record = record
            self._endpoints[record.id] = known

    def share(self, loads: dict[str, EndpointLoad]) -> None:
        """Take the work of other gateways."""
        idle = EndpointLoad()
        for endpoint in self._endpoints.values():
            endpoint.take_others(loads.get(endpoint.id, idle))

    def loads(self) -> dict[str, EndpointLoad]:
        """Return this gateway's own work by endpoint."""
        return {
            endpoint.id: endpoint.load()
            for endpoint in self._endpoints.values()
            if endpoint.active
        }

    def of_service(self, service: str) -> tuple[Endpoint, ...]:
        """Return all endpoints of a service."""
        return tuple(
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.record.service == service
        )

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return all endpoints."""
        return tuple(self._endpoints.values())

    def choose(
        self,
        spec: ServiceSpec,
        work: Work,
        now: float,
        excluding: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Return the cheapest endpoint, or None where there is none.

        Endpoints that rest after a failure are used only when no other is
        left.
        """
        usable = [
            endpoint
            for endpoint in self.of_service(spec.name)
            if endpoint.usable(now) and endpoint.id not in excluding
        ]
        rested = [e for e in usable if now >= e.rests_until]
        candidates = rested or usable
        if not candidates:
            return None
        if spec.engine is None:
            choices = [_plain_choice(e) for e in candidates]
        else:
            home = self._home(candidates, work)
            choices = [
                _engine_choice(e, spec.engine.slots, work, home=e is home)
                for e in candidates
            ]
        return min(choices, key=lambda choice: choice.cost_s)

    def _home(self, candidates: list[Endpoint], work: Work) -> Endpoint:
        """Return where a prompt is kept, the same at every gateway."""
        near = [e for e in candidates if not e.remote] or candidates
        return max(near, key=lambda e: _rendezvous(work.home_key, e.id))

    def _is_remote(self, record: EndpointRecord) -> bool:
        region = self._regions.get(record.failure_domain, self._region)
        return region != self._region


def _rendezvous(key: str, endpoint_id: str) -> bytes:
    text = f"{key}|{endpoint_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _engine_choice(
    endpoint: Endpoint, slots: int, work: Work, *, home: bool
) -> Choice:
    unread = endpoint.uncached(work, home=home)
    queued = endpoint.prefill_tokens + endpoint.others.prefill_tokens
    active = endpoint.total_active()
    read_s = unread / PREFILL_TOKENS_PER_S
    wait_s = read_s + queued / PREFILL_TOKENS_PER_S + active * CROWDING_S
    if active >= slots:
        wait_s += (active - slots + 1) / slots
    wait_s *= endpoint.slowness
    wait_s += REMOTE_S if endpoint.remote else 0.0
    excess = max(0, min(unread, unread + queued - HARMLESS_TOKENS))
    harm_s = HARM_WEIGHT * active * excess / PREFILL_TOKENS_PER_S
    exposed_s = work.output_tokens * TOKEN_S * endpoint.reading
    cost_s = wait_s + harm_s + EXPOSURE_WEIGHT * exposed_s
    cost_s += FAILURE_COST_S * endpoint.failure_rate
    cost_s += 0.0 if home else AWAY_S
    return Choice(
        endpoint=endpoint,
        wait_s=wait_s,
        cost_s=cost_s,
        unread_tokens=unread,
    )


def _plain_choice(endpoint: Endpoint) -> Choice:
    crowd = endpoint.total_active() / endpoint.record.slots
    wait_s = endpoint.call_s * (1 + max(0.0, crowd - 0.5) * 2)
    wait_s += REMOTE_S if endpoint.remote else 0.0
    cost_s = wait_s + FAILURE_COST_S * endpoint.failure_rate
    return Choice(
        endpoint=endpoint, wait_s=wait_s, cost_s=cost_s, unread_tokens=0
    )
