"""Streams that are broken off and taken up while software versions change.

Run with `python -m tests.core.origin_simulation --seeds 5000`. Gateways,
control replicas and endpoints are simulated with delays, lost leaders, lost
gateways, late news and wrong clocks; the decisions are the real ones. The
bounds are the operator's: no stream goes on at another version than the one
that began it, and of those taken up in calm while two endpoints of their
version serve, at least half go on.

With `--out-of-step` gateways are cut off from control or stand still while
endpoints of a new version join, and streams that break off then are taken up
there. What is in flight to a gateway that stands still is delivered
afterwards: news, answers of control, and requests to endpoints.
"""

import argparse
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random

from chervilshift.core.fleet.commands import AnnounceEndpoint, NoteStreams
from chervilshift.core.fleet.model import (
    DRAINING,
    GONE,
    READY,
    SILENT,
    EndpointRecord,
)
from chervilshift.core.fleet.origins import (
    OpenStreams,
    Origin,
    OriginBatch,
    decide_origin,
    is_incarnation,
    keep_s,
    stream_key,
)
from chervilshift.core.fleet.state import FleetState

STEP_S = 0.05
DAY_S = 40.0
UNIX_S = 1_700_000_000.0
SERVICE = "llm"
GATEWAYS, REPLICAS, ENDPOINTS = 6, 5, 8
REPORT_INTERVAL_S = 0.1
MAX_FIND_S = 0.5
STREAM_S = 4.0
CONTACT_S = 4.0
# A replica that applies the log so late is not in touch.
SLOW_LAG_S = 3.0
# Control notices that an endpoint has ended without a word.
SILENT_AFTER_S = 4.2
MAX_FAILED_CONNECTS = 3
CLIENT_TRIES = 3
TAKEN_UP_AT_LEAST = 12
# A client leaves a gateway that doesn't answer.
CLIENT_PATIENCE_S = 5.0
STREAMS_PER_S = 10.0


class Endpoint:
    """One endpoint; it takes requests that name its id while it is up.

    It names its incarnation on each connection before the first stream.
    """

    def __init__(self, *, id: str, version: str, born_ms: int):
        self.id = id
        self.version = version
        self.born_ms = born_ms
        self.seq = 0
        self.is_up = True

    def record(self, state: str) -> EndpointRecord:
        """Return the next announcement."""
        self.seq += 1
        return EndpointRecord(
            id=self.id,
            born_ms=self.born_ms,
            seq=self.seq,
            state=state,
            service=SERVICE,
            address=f"{self.id}:1",
            failure_domain="a",
            slots=8,
            version=self.version,
        )


class Stream:
    """One client's stream; `truth` is the version that began it."""

    def __init__(self, *, first_id: bytes, ends_at: float):
        self.first_id = first_id
        self.ends_at = ends_at
        self.truth: str | None = None
        self.gateway: Gateway | None = None
        self.endpoint: Endpoint | None = None
        self.tries = 0
        self.due_at = 0.0
        self.asked_since: float | None = None
        self.attempt: Attempt | None = None


class Attempt:
    """A take-up at one gateway, in steps that the gateway may stand still in.

    Each step is done at `due_at` or, if the gateway stands still then, later.
    """

    def __init__(self, gateway: "Gateway", now: float):
        self.gateway = gateway
        self.began_at = self.due_at = now
        self.answer: tuple[str | None, bool] | None = None
        self.chosen: list[EndpointRecord] | None = None


class Gateway:
    """A gateway; its news are those of a replica, some time ago."""

    def __init__(self, number: int, world: "World"):
        self.number = number
        self.world = world
        self.replica = world.rng.randrange(REPLICAS)
        self.start(0.0)

    def start(self, up_at: float) -> None:
        """Lose all memory; serve again at `up_at`."""
        self.up_at = up_at
        self.cut_until = 0.0
        self.frozen_until = 0.0
        self.news_in_flight: FleetNews | None = None
        self.streams = OpenStreams()
        self.known: dict[str, EndpointRecord] = {}
        self.mixed: tuple[str, ...] = ()
        self.sync_at = up_at
        self.report_at = up_at

    def step(self) -> None:
        """Read the replica's news, and report streams."""
        world = self.world
        if world.now < max(self.up_at, self.cut_until, self.frozen_until):
            return
        if self.news_in_flight is not None:
            self._apply(self.news_in_flight)
            self.news_in_flight = None
        if world.now >= self.sync_at:
            self.sync_at = world.now + 0.2 + world.rng.random() * 0.5
            self._apply(self._ask_news())
        if world.now >= self.report_at and self._mixed():
            self.report_at = world.now + REPORT_INTERVAL_S
            batches = self.streams.unreported((SERVICE,), 1000)
            if batches and world.commit(
                NoteStreams(
                    batches=batches,
                    now_s=world.wall_s(),
                    kept_s=keep_s(None),
                )
            ):
                self.streams.record_reported(batches)

    def freeze(self, until: float) -> None:
        """Stand still, at times while news or a report is on its way."""
        self.frozen_until = until
        world = self.world
        if world.rng.random() < 0.5 and world.now >= self.cut_until:
            self.news_in_flight = self._ask_news()
        if world.rng.random() < 0.5 and world.now >= self.cut_until:
            batches = self.streams.unreported((SERVICE,), 1000)
            arrives_at = world.now + world.rng.uniform(0.0, 2.0)
            if batches:
                world.late_reports.append((arrives_at, batches))

    def _ask_news(self) -> "FleetNews":
        fleet = self.world.replicas[self.replica].fleet
        since_s = self.world.wall_s() - keep_s(None)
        return (
            {r.id: r for r in fleet.endpoints()},
            fleet.origins.mixed_services(since_s),
        )

    def _apply(self, news: "FleetNews") -> None:
        records, self.mixed = news
        for record in records.values():
            held = self.known.get(record.id)
            if held is not None and held.version != record.version:
                self.streams.endpoint_changed(
                    record.id, Origin(service=SERVICE, version=record.version)
                )
        self.known = records

    def _mixed(self) -> bool:
        versions = {r.version for r in self.known.values()}
        return len(versions) > 1 or bool(self.mixed)

    def place(self, version: str | None) -> list[EndpointRecord]:
        """Choose among the endpoints that this gateway takes for ready.

        The others are tried if the first can't be connected to.
        """
        # The order of the fleet's endpoints differs between runs.
        ready = [
            record
            for _, record in sorted(self.known.items())
            if record.state == READY and version in (None, record.version)
        ]
        self.world.rng.shuffle(ready)
        return ready[:MAX_FAILED_CONNECTS]

    def find(self, stream: Stream) -> tuple[str | None, bool]:
        """Return the version that began a stream, and if that is final."""
        key = stream_key(stream.first_id)
        local = self.streams.find(key)
        if local:
            return _version(decide_origin(local, (SERVICE,))), True
        if self.world.now < self.cut_until:
            return None, False
        recorded = self.world.replicas[self.replica].fleet.origins.find(key)
        leader = self.world.leader
        if not recorded and leader is not None:
            recorded = leader.fleet.origins.find(key)
        if recorded:
            return _version(decide_origin(recorded, (SERVICE,))), True
        if leader is None:
            return None, False
        since_s = self.world.wall_s() - keep_s(None)
        versions = leader.fleet.origins.versions_since(SERVICE, since_s)
        return (*versions, None)[0] if len(versions) == 1 else None, False


FleetNews = tuple[dict[str, EndpointRecord], tuple[str, ...]]


class Replica:
    """A control replica; it applies the log with some delay."""

    def __init__(self):
        self.fleet = FleetState()
        self.applied = 0

    def apply(self, log: list) -> None:
        """Apply all of the log."""
        for index in range(self.applied, len(log)):
            self.fleet.apply(log[index], index + 1)
        self.applied = len(log)


class World:
    """One day with its faults, drawn from the seed."""

    def __init__(
        self,
        seed: int,
        *,
        same_ids: bool = False,
        out_of_step: bool = False,
        gateways: int = GATEWAYS,
    ):
        self.rng = Random(seed)
        self.same_ids = same_ids
        self.out_of_step = out_of_step
        self.size = gateways / GATEWAYS
        # Gateways out of step, at which streams are taken up until a time.
        self.taking_up: list[Gateway] = []
        self.taking_up_until = 0.0
        self.planned: list[tuple[float, Callable[[], None]]] = []
        self.late_reports: list[tuple[float, tuple[OriginBatch, ...]]] = []
        self.now = 0.0
        self.log: list = []
        self.replicas = [Replica() for _ in range(REPLICAS)]
        self.lag = [self.rng.random() * 0.3 for _ in range(REPLICAS)]
        self.slow_until = [0.0] * REPLICAS
        self.leaderless_until = 0.0
        self.calm_since = 0.0
        self.numbers = count()
        self.endpoints: list[Endpoint] = []
        self.late: list[tuple[float, EndpointRecord]] = []
        self.version = 1
        self.joined: list[str] = []
        self.counts: Counter[str] = Counter()
        for _ in range(round(ENDPOINTS * self.size)):
            self.add_endpoint("v1")
        for replica in self.replicas:
            replica.apply(self.log)
        self.gateways = [Gateway(n, self) for n in range(gateways)]
        self.streams: list[Stream] = []
        self.versions_left: list[tuple[float, Endpoint]] = []

    @property
    def leader(self) -> Replica | None:
        """The leader, which has applied the whole log."""
        if self.now < self.leaderless_until:
            return None
        self.replicas[0].apply(self.log)
        return self.replicas[0]

    def wall_s(self) -> float:
        """Return some process's Unix time, up to half a second wrong."""
        return UNIX_S + self.now + self.rng.uniform(-0.5, 0.5)

    def commit(self, command) -> bool:
        """Commit a command if there is a leader; return whether it is known.

        The reply may be lost.
        """
        if self.leader is None:
            return False
        self.log.append(command)
        return self.rng.random() > 0.05

    def announce(self, record: EndpointRecord) -> None:
        """Announce something, at times late."""
        delay_s = self.rng.choice((0.05, 0.05, 0.2, 1.0))
        self.late.append((self.now + delay_s, record))

    def add_endpoint(self, version: str, id: str = "") -> None:
        """Start an endpoint."""
        number = next(self.numbers)
        endpoint = Endpoint(
            id=id or f"e{number}",
            version=version,
            born_ms=int((UNIX_S + self.now) * 1000) + number,
        )
        self.endpoints.append(endpoint)
        record = endpoint.record(READY)
        if self.now == 0.0:
            self.log.append(AnnounceEndpoint(endpoint=record, now_s=UNIX_S))
        else:
            self.announce(record)

    def end_endpoint(self, endpoint: Endpoint) -> None:
        """Crash an endpoint; its streams break off."""
        endpoint.is_up = False
        self.endpoints.remove(endpoint)
        for stream in self.streams:
            if stream.endpoint is endpoint:
                self.break_off(stream)

    def break_off(self, stream: Stream) -> None:
        """Break off a client's answer; the client takes the stream up."""
        stream.gateway = stream.endpoint = stream.attempt = None
        stream.due_at = self.now + 0.01 + self.rng.random() * 0.3
        stream.asked_since = None

    # Faults

    def draw_faults(self) -> None:
        """Draw the faults of one step."""
        rng = self.rng
        if rng.random() < 0.006:
            self._release()
        if rng.random() < 0.01 and len(self.endpoints) > 3:
            victim = rng.choice(self.endpoints)
            self.end_endpoint(victim)
            again = rng.random()
            if again < 0.5:
                reused = victim.id if rng.random() < 0.5 else ""
                self.add_endpoint(victim.version, reused)
            elif self.same_ids:
                self.add_endpoint(f"v{self.version}", victim.id)
            else:
                self.add_endpoint(f"v{self.version}")
            if rng.random() < 0.5:
                self.announce(victim.record(GONE))
            else:
                silent = victim.record(SILENT)
                self.late.append((self.now + SILENT_AFTER_S, silent))
        if rng.random() < 0.004:
            self._end_gateways(rng.choice((0.2, 0.5, 1.0, 1.0)))
        if rng.random() < 0.004:
            self.leaderless_until = self.now + rng.uniform(0.5, 4.0)
            self.calm_since = max(self.calm_since, self.leaderless_until)
        if rng.random() < 0.004:
            cut = rng.choice(self.gateways)
            cut.cut_until = self.now + rng.uniform(1.0, 15.0)
        if rng.random() < 0.01:
            for stream in self.streams:
                if stream.gateway is not None and rng.random() < 0.5:
                    self.break_off(stream)
        if rng.random() < 0.02:
            replica = rng.randrange(REPLICAS)
            if self.lag[replica] == SLOW_LAG_S:
                self.slow_until[replica] = self.now
            self.lag[replica] = rng.choice((0.05, 0.2, 0.5, SLOW_LAG_S))
        if self.out_of_step and rng.random() < 0.01:
            self._put_out_of_step()

    def _put_out_of_step(self) -> None:
        """Cut off gateways, or make them stand still, amid a release."""
        rng = self.rng
        until = self.now + rng.uniform(0.5, 6.0)
        share = rng.choice((0.0, 0.1, 0.3))
        chosen = rng.sample(
            self.gateways, max(1, round(share * len(self.gateways)))
        )
        is_cut = rng.random() < 0.5
        for gateway in chosen:
            if is_cut:
                gateway.cut_until = until
            else:
                gateway.freeze(until)
        self.taking_up, self.taking_up_until = chosen, until + 1.0
        releases_at = rng.uniform(self.now, until)
        self.planned.append((releases_at, self._release))
        for _ in range(3):
            breaks_at = rng.uniform(releases_at, until + 0.5)
            self.planned.append((breaks_at, self._break_off_some))

    def _break_off_some(self) -> None:
        for stream in self.streams:
            if stream.gateway is not None and self.rng.random() < 0.4:
                self.break_off(stream)

    def _release(self) -> None:
        """Replace a part of the endpoints, by a newer or an older version."""
        rng = self.rng
        if rng.random() < 0.8:
            self.version += 1
        share = rng.choice((0.2, 0.5, 1.0))
        version = f"v{self.version if rng.random() < 0.8 else 1}"
        leaving = set()
        if self.out_of_step:
            leaving = {endpoint.id for _, endpoint in self.versions_left}
        for endpoint in tuple(self.endpoints):
            if endpoint.id not in leaving and rng.random() < share:
                self.add_endpoint(version)
                self.announce(endpoint.record(DRAINING))
                leaves_at = self.now + rng.uniform(2.0, 6.0)
                self.versions_left.append((leaves_at, endpoint))

    def _end_gateways(self, share: float) -> None:
        self.calm_since = max(self.calm_since, self.now)
        for gateway in self.gateways:
            if self.rng.random() < share:
                for stream in self.streams:
                    if stream.gateway is gateway:
                        self.break_off(stream)
                gateway.start(self.now + self.rng.uniform(0.2, 2.5))

    # Time

    def step(self) -> None:
        """Advance by one step."""
        self.now += STEP_S
        self.draw_faults()
        for at, action in tuple(self.planned):
            if self.now >= at:
                self.planned.remove((at, action))
                action()
        for at, batches in tuple(self.late_reports):
            if self.now >= at:
                self.late_reports.remove((at, batches))
                self.commit(
                    NoteStreams(
                        batches=batches,
                        now_s=self.wall_s(),
                        kept_s=keep_s(None),
                    )
                )
        for at, endpoint in tuple(self.versions_left):
            if self.now >= at:
                self.versions_left.remove((at, endpoint))
                if endpoint.is_up:
                    self.announce(endpoint.record(GONE))
                    self.end_endpoint(endpoint)
        for at, record in tuple(self.late):
            if self.now >= at and self.leader is not None:
                self.late.remove((at, record))
                self.commit(
                    AnnounceEndpoint(endpoint=record, now_s=self.wall_s())
                )
        for number, replica in enumerate(self.replicas):
            if number and self.rng.random() < STEP_S / self.lag[number]:
                replica.apply(self.log)
        for gateway in self.gateways:
            gateway.step()
        begun, part = divmod(STREAMS_PER_S * STEP_S * self.size, 1)
        for _ in range(int(begun) + (self.rng.random() < part)):
            self.streams.append(
                Stream(
                    first_id=b"%d" % next(self.numbers),
                    ends_at=self.now + STREAM_S * 2 * self.rng.random(),
                )
            )
        for stream in tuple(self.streams):
            self._serve(stream)

    def _serve(self, stream: Stream) -> None:
        if stream.gateway is not None:
            if self.now >= stream.ends_at:
                stream.gateway.streams.end(stream_key(stream.first_id))
                self.streams.remove(stream)
            return
        if self.now < stream.due_at:
            return
        if stream.attempt is not None:
            self._continue(stream, stream.attempt)
            return
        up = [g for g in self.gateways if g.up_at <= self.now]
        if not up:
            return
        gateway = self.rng.choice(up)
        if stream.truth is None:
            if self.now >= gateway.frozen_until:
                self._send(stream, gateway, None)
            if stream.truth is None:
                self.streams.remove(stream)
            return
        if self.out_of_step:
            if self.now < self.taking_up_until and self.rng.random() < 0.6:
                gateway = self.rng.choice(self.taking_up)
            stream.attempt = Attempt(gateway, self.now)
            self._continue(stream, stream.attempt)
            return
        version, is_final = gateway.find(stream)
        stream.asked_since = stream.asked_since or self.now
        waited_s = self.now - stream.asked_since
        if version is None and not is_final and waited_s < MAX_FIND_S:
            stream.due_at = self.now + 0.1
            return
        goes_on = version is not None and self._send(stream, gateway, version)
        self._end_try(stream, gateway, goes_on=goes_on)

    def _continue(self, stream: Stream, attempt: Attempt) -> None:
        """Do the next step of a take-up: ask, choose endpoints, send."""
        gateway = attempt.gateway
        if (
            gateway.up_at > attempt.began_at
            or self.now - attempt.began_at > CLIENT_PATIENCE_S
        ):
            self._end_try(stream, gateway, goes_on=False)
            return
        if self.now < max(attempt.due_at, gateway.frozen_until):
            return
        attempt.due_at = self.now + self.rng.choice((0.0, 0.05, 0.1))
        if attempt.chosen is not None:
            goes_on = self._send_to(stream, gateway, attempt.chosen)
            self._end_try(stream, gateway, goes_on=goes_on)
            return
        if attempt.answer is None:
            attempt.answer = gateway.find(stream)
            return
        version, is_final = attempt.answer
        if version is not None:
            attempt.chosen = gateway.place(version)
        elif is_final or self.now - attempt.began_at >= MAX_FIND_S:
            self._end_try(stream, gateway, goes_on=False)
        else:
            attempt.answer = None

    def _end_try(
        self, stream: Stream, gateway: Gateway, *, goes_on: bool
    ) -> None:
        stream.attempt = None
        stream.tries += 1
        self._count(stream, gateway, goes_on=goes_on)
        stream.asked_since = None
        stream.due_at = self.now + 0.25
        if not goes_on and stream.tries >= CLIENT_TRIES:
            self.streams.remove(stream)

    def _send(
        self, stream: Stream, gateway: Gateway, version: str | None
    ) -> bool:
        """Send a stream to an endpoint; return whether its events come."""
        return self._send_to(stream, gateway, gateway.place(version))

    def _send_to(
        self, stream: Stream, gateway: Gateway, chosen: list[EndpointRecord]
    ) -> bool:
        up = {endpoint.id: endpoint for endpoint in self.endpoints}
        records = (
            record
            for record in chosen
            if record.id in up
            and is_incarnation(
                record.born_ms,
                up[record.id].born_ms,
                goes_on=stream.truth is not None,
            )
        )
        record = next(records, None)
        if record is None:
            return False
        endpoint = up[record.id]
        gateway.streams.begin(
            stream_key(stream.first_id),
            Origin(service=SERVICE, version=record.version),
            record.id,
            self.now,
        )
        if stream.truth not in (None, endpoint.version):
            self.joined.append(
                f"{self.now:.2f} s: {stream.truth} goes on at "
                f"{endpoint.version} ({endpoint.id}), at gateway "
                f"{gateway.number}"
            )
        stream.truth = stream.truth or endpoint.version
        stream.gateway, stream.endpoint = gateway, endpoint
        return True

    def _count(
        self, stream: Stream, gateway: Gateway, *, goes_on: bool
    ) -> None:
        """Count a take-up in calm, while two endpoints of its version serve.

        Endpoints that leave count as serving only until they say so.
        """
        leaving = {endpoint.id for _, endpoint in self.versions_left}
        serving = sum(
            e.version == stream.truth and e.id not in leaving
            for e in self.endpoints
        )
        in_touch = (
            self.now - self.calm_since > CONTACT_S
            and self.now > gateway.cut_until + CONTACT_S
            and self.now > gateway.frozen_until + CONTACT_S
            and self.now > gateway.up_at + CONTACT_S
            and self.lag[gateway.replica] < SLOW_LAG_S
            and self.now > self.slow_until[gateway.replica] + CONTACT_S
        )
        if serving >= 2 and in_touch:
            self.counts["taken up"] += 1
            self.counts["gone on"] += goes_on

    def play(self) -> None:
        """Play the day."""
        while self.now < DAY_S:
            self.step()


def _version(origin: Origin | None) -> str | None:
    return None if origin is None else origin.version


def main() -> None:
    """Play many seeds and print those that break a bound."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--same-ids", action="store_true")
    parser.add_argument("--out-of-step", action="store_true")
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    args = parser.parse_args()
    total: Counter[str] = Counter()
    broken = 0
    for seed in range(args.first, args.first + args.seeds):
        world = World(
            seed,
            same_ids=args.same_ids,
            out_of_step=args.out_of_step,
            gateways=args.gateways,
        )
        world.play()
        total += world.counts
        total["joined"] += len(world.joined)
        taken_up, gone_on = world.counts["taken up"], world.counts["gone on"]
        few = taken_up >= TAKEN_UP_AT_LEAST and gone_on < taken_up / 2
        if world.joined or few:
            broken += 1
            print(seed, f"{gone_on} of {taken_up}", *world.joined[:3])
    print(f"{args.seeds} seeds, {broken} broken: {dict(total)}")


if __name__ == "__main__":
    main()
