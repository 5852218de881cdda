"""Chooses the endpoint for an attempt by what it would cost the callers.

A gateway counts its own work at once and other gateways' work as control
last told it. For model engines the cost is the predicted first token
(distance, prompt tokens to be read before it, crowding) and interference: a
prompt delays the tokens of the streams that run beside it, so long prompts
keep away from long streams and the other way round. For plain services it
is the predicted wait for a free slot.
"""

import hashlib
from collections import OrderedDict, defaultdict
from collections.abc import Iterable

from chervilshift.core.fleet.health import Health
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
# Typical plain call until a service's own calls were seen, in seconds.
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
# A failed call costs a caller about one more call.
FAILURE_COST_S = 0.3
# Weight of the newest reply in what is typical of a service; small, since
# all of its endpoints and requests give samples.
TYPICAL_WEIGHT = 0.05
TYPICAL_MIN, TYPICAL_MAX = 0.25, 4.0


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
    def affinity_key(self) -> str:
        """The part that most decides where the prompt is cached."""
        shared = self.parts[:-1] or self.parts
        return shared[-1][0] if shared else ""


class Endpoint:
    """One endpoint as this gateway sees it."""

    __slots__ = (
        "_parts",
        "active",
        "health",
        "other_load",
        "prefill_tokens",
        "prefill_fraction",
        "record",
        "remote",
    )

    def __init__(self, *, record: EndpointRecord, remote: bool):
        self.record = record
        self.remote = remote
        self.active = 0
        self.prefill_tokens = 0
        self.other_load = EndpointLoad()
        self.prefill_fraction = 0.0
        self.health = Health()
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
        return self.active + self.other_load.active

    def set_other_load(self, load: EndpointLoad) -> None:
        """Take other gateways' work, and sample how much is being read."""
        self.other_load = load
        queued = self.prefill_tokens + load.prefill_tokens
        busy = min(1.0, queued / PREFILL_TOKENS_PER_S / READING_FULL_S)
        self.prefill_fraction += READING_WEIGHT * (
            busy - self.prefill_fraction
        )

    def usable(self, now: float) -> bool:
        """Whether new work may be sent there."""
        if self.record.state == SILENT:
            return self.health.replied_recently(now)
        return self.record.state == READY

    def uncached_tokens(self, work: Work, *, home: bool) -> int:
        """Return the prompt tokens that have to be read there."""
        cached = 0
        shared = len(work.parts) - 1
        for place, (part_id, tokens) in enumerate(work.parts):
            known = part_id in self._parts or (home and place < shared)
            if not known:
                break
            cached += tokens
        return max(0, work.tokens - cached)

    def add_cached(self, work: Work) -> None:
        """Note that a prompt's parts are now cached there."""
        for part_id, _ in work.parts:
            self._parts[part_id] = None
            self._parts.move_to_end(part_id)
        while len(self._parts) > PARTS_KEPT:
            self._parts.popitem(last=False)


class Choice:
    """An endpoint, the predicted wait there and what choosing it costs.

    `baseline_s` is until the reply would begin at a healthy endpoint, before
    correction by what is typical; `wait_s` is the prediction for this one.
    `cost_s` adds what other requests lose. `uncached_tokens` is the part of
    the prompt it is expected to read.
    """

    __slots__ = (
        "cost_s",
        "endpoint",
        "uncached_tokens",
        "baseline_s",
        "wait_s",
    )

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        baseline_s: float,
        wait_s: float,
        cost_s: float,
        uncached_tokens: int,
    ):
        self.endpoint = endpoint
        self.baseline_s = baseline_s
        self.wait_s = wait_s
        self.cost_s = cost_s
        self.uncached_tokens = uncached_tokens


class Placed:
    """An attempt's work, counted at its endpoint while the block lasts."""

    __slots__ = ("_began_at", "_unread", "choice")

    def __init__(self, *, choice: Choice, now: float):
        self.choice = choice
        self._began_at = now
        self._unread = 0

    @property
    def endpoint(self) -> Endpoint:
        """Where the attempt goes."""
        return self.choice.endpoint

    def __enter__(self) -> "Placed":
        self._unread = self.choice.uncached_tokens
        self.endpoint.active += 1
        self.endpoint.prefill_tokens += self._unread
        self.endpoint.health.record_start(self._began_at)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.prefill_done()
        self.endpoint.active -= 1
        self.endpoint.health.record_end()

    def prefill_done(self) -> None:
        """Note that the prompt is read."""
        self.endpoint.prefill_tokens -= self._unread
        self._unread = 0


class Placement:
    """All endpoints by service, and the choice among them.

    `regions` maps failure domains to regions; `region` is the gateway's.
    """

    __slots__ = ("_endpoints", "_region", "_regions", "_typical")

    def __init__(self, *, region: str, regions: dict[str, str]):
        self._region = region
        self._regions = regions
        self._endpoints: dict[str, Endpoint] = {}
        self._typical: defaultdict[str, float] = defaultdict(lambda: 1.0)

    def update_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Take the endpoints that control knows."""
        held, self._endpoints = self._endpoints, {}
        for record in records:
            known = held.get(record.id)
            if known is None or known.record.born_ms != record.born_ms:
                known = Endpoint(record=record, remote=self._is_remote(record))
            known.record = record
            self._endpoints[record.id] = known

    def set_other_loads(self, loads: dict[str, EndpointLoad]) -> None:
        """Take the work of other gateways."""
        idle = EndpointLoad()
        for endpoint in self._endpoints.values():
            endpoint.set_other_load(loads.get(endpoint.id, idle))

    def loads(self) -> dict[str, EndpointLoad]:
        """Return this gateway's own work by endpoint."""
        return {
            endpoint.id: endpoint.load()
            for endpoint in self._endpoints.values()
            if endpoint.active
        }

    def endpoints_of(self, service: str) -> tuple[Endpoint, ...]:
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
            for endpoint in self.endpoints_of(spec.name)
            if endpoint.usable(now) and endpoint.id not in excluding
        ]
        rested = [e for e in usable if not e.health.is_excluded(now)]
        candidates = rested or usable
        if not candidates:
            return None
        typical = self._typical[spec.name]
        if spec.engine is None:
            choices = [_plain_choice(e, typical, now) for e in candidates]
        else:
            home = self._home(candidates, work)
            slots = spec.engine.slots
            choices = [
                _engine_choice(e, slots, work, typical, now, home=e is home)
                for e in candidates
            ]
        return min(choices, key=lambda choice: choice.cost_s)

    def observe(self, choice: Choice, actual_s: float, now: float) -> None:
        """Learn from the seconds after which a reply began.

        What all endpoints of a service do is typical; what one does beyond
        that is its slowness.
        """
        record, health = choice.endpoint.record, choice.endpoint.health
        typical = self._typical[record.service]
        health.observe(choice.baseline_s * typical, actual_s, now)
        ratio = actual_s / max(choice.baseline_s, 0.01)
        typical += TYPICAL_WEIGHT * (ratio - typical)
        self._typical[record.service] = min(
            TYPICAL_MAX, max(TYPICAL_MIN, typical)
        )

    def _home(self, candidates: list[Endpoint], work: Work) -> Endpoint:
        """Return where a prompt is kept, the same at every gateway."""
        near = [e for e in candidates if not e.remote] or candidates
        return max(near, key=lambda e: _rendezvous(work.affinity_key, e.id))

    def _is_remote(self, record: EndpointRecord) -> bool:
        region = self._regions.get(record.failure_domain, self._region)
        return region != self._region


def _rendezvous(key: str, endpoint_id: str) -> bytes:
    text = f"{key}|{endpoint_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _engine_choice(
    endpoint: Endpoint,
    slots: int,
    work: Work,
    typical: float,
    now: float,
    *,
    home: bool,
) -> Choice:
    unread = endpoint.uncached_tokens(work, home=home)
    queued = endpoint.prefill_tokens + endpoint.other_load.prefill_tokens
    active = endpoint.total_active()
    baseline_s = (unread + queued) / PREFILL_TOKENS_PER_S + active * CROWDING_S
    if active >= slots:
        baseline_s += (active - slots + 1) / slots
    wait_s = _predict(endpoint, baseline_s * typical, now)
    excess = max(0, min(unread, unread + queued - HARMLESS_TOKENS))
    harm_s = HARM_WEIGHT * active * excess / PREFILL_TOKENS_PER_S
    exposed_s = work.output_tokens * TOKEN_S * endpoint.prefill_fraction
    cost_s = wait_s + harm_s + EXPOSURE_WEIGHT * exposed_s
    cost_s += FAILURE_COST_S * endpoint.health.failure_rate(now)
    cost_s += 0.0 if home else AWAY_S
    return Choice(
        endpoint=endpoint,
        baseline_s=baseline_s,
        wait_s=wait_s,
        cost_s=cost_s,
        uncached_tokens=unread,
    )


def _plain_choice(endpoint: Endpoint, typical: float, now: float) -> Choice:
    crowd = endpoint.total_active() / endpoint.record.slots
    baseline_s = CALL_S * (1 + max(0.0, crowd - 0.5) * 2)
    wait_s = _predict(endpoint, baseline_s * typical, now)
    cost_s = wait_s + FAILURE_COST_S * endpoint.health.failure_rate(now)
    return Choice(
        endpoint=endpoint,
        baseline_s=baseline_s,
        wait_s=wait_s,
        cost_s=cost_s,
        uncached_tokens=0,
    )


def _predict(endpoint: Endpoint, baseline_s: float, now: float) -> float:
    """Return the wait at this endpoint, by how it has been doing."""
    health = endpoint.health
    wait_s = baseline_s * health.slowness(now) + health.stalled_s(now)
    return wait_s + (REMOTE_S if endpoint.remote else 0.0)
