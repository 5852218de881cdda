"""The state of a gateway: configuration, endpoints, limits, budgets."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from random import Random

import anyio
from absl import logging
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.clock import Clock
from chervilshift.core.fleet.crashes import Crash
from chervilshift.core.fleet.crashreports import CrashReports
from chervilshift.core.fleet.documents import unpack
from chervilshift.core.fleet.endpointlimits import (
    EndpointLimits,
    without_endpoints,
)
from chervilshift.core.fleet.holds import EndpointHolds
from chervilshift.core.fleet.intervals import DIRECT_INTERVAL_S
from chervilshift.core.fleet.limitqueue import LimitQueue
from chervilshift.core.fleet.limits import LimitAccount, LimitPolicy
from chervilshift.core.fleet.model import EndpointRecord, ServingConfig
from chervilshift.core.fleet.news import NEWS_EXPIRY_S, NewsCopy, Observed
from chervilshift.core.fleet.origins import OpenStreams, Origin
from chervilshift.core.fleet.otherload import OtherLoads
from chervilshift.core.fleet.placement import Choice, Placement, Work
from chervilshift.core.fleet.retries import RetryBudget, RetryPolicy
from chervilshift.core.fleet.room import RoomGate
from chervilshift.core.fleet.routes import RouteTable
from chervilshift.core.fleet.speeds import SpeedBook, measures_speed
from chervilshift.core.fleet.sync import GatewayInfo, GatewaySync, SyncReply
from chervilshift.core.fleet.tables import forget_unnamed
from chervilshift.core.fleet.usage import UsageCounter
from chervilshift.core.fleet.versiongate import VersionGate
from chervilshift.core.fleet.versions import RolloutPolicy
from chervilshift.core.fleet.walltime import WallTime
from chervilshift.core.fleet.zones import SpillGate, Zone
from chervilshift.core.rates import DecayingRate
from chervilshift.errors import Failure
from chervilshift.events import EventLog
from chervilshift.gateway.protocol import ReplyHead

__all__ = ["GatewayState"]

# Window of the average rate of prompt tokens to prefill: long enough to smooth
# bursts, short enough that a rise shows before a new endpoint would have
# booted.
PREFILL_RATE_WINDOW_S = 4.0
# A control process that has not heard of the leader for longer is replaced by
# another one.
MAX_LEADER_AGE_S = 1.0
# Without news of the leader for this long, the gateway uses its own diagnosis.
ALONE_AFTER_S = 1.0


class GatewayState:
    """State shared by the tasks of one gateway.

    The replies of control processes change it. `table` is None until the
    first configuration arrives; `revision` is that of the known endpoints,
    and `gateway_count` the number of gateways that control knows.
    `report_interval_s` is the time until the next report to control, as the
    control process asks. `crashes` are crashes of endpoints and the prompt
    parts in quarantine, `endpoint_limits` the rate limits that endpoints
    state, and `holds` the endpoints that take no requests for now.
    `open_streams` are the streams that may have to go on at their version.
    `room`, `speeds`, `versions` and `spill` follow the leader's decisions for
    all gateways.
    """

    def __init__(
        self,
        *,
        gateway_id: str,
        info: Callable[[], GatewayInfo],
        placement: Placement,
        limit_policy: LimitPolicy,
        retry_policy: RetryPolicy,
        usage_window_s: float,
        decode: Callable[[bytes], Result[ServingConfig, Failure]],
        controls_digest: Callable[[], int],
        rng: Random,
        clock: Clock,
        events: EventLog,
        rollout_policy: RolloutPolicy | None = None,
        spill: SpillGate | None = None,
    ):
        self._controls_digest = controls_digest
        self._info = info
        self._decode = decode
        self._clock = clock
        self._events = events
        self._retry_policy = retry_policy
        self._retry_budgets: dict[str, RetryBudget] = {}
        self.placement = placement
        self.limits = LimitAccount(policy=limit_policy)
        self.limit_queue = LimitQueue(account=self.limits, rng=rng)
        self._prefill_rates: defaultdict[str, DecayingRate] = defaultdict(
            lambda: DecayingRate(window_s=PREFILL_RATE_WINDOW_S)
        )
        self._wall_time = WallTime(counts_own=False)
        self._other_loads = OtherLoads()
        self._leader_heard_at = float("-inf")
        self.crashes = CrashReports(gateway_id=gateway_id)
        self._rng = rng
        self.endpoint_limits = EndpointLimits(rng=rng)
        self.holds = EndpointHolds(rng=rng)
        self.open_streams = OpenStreams()
        self._news = NewsCopy(source="")
        self.room = RoomGate(rng=rng)
        self.speeds = SpeedBook()
        self.versions = VersionGate(rng=rng, policy=rollout_policy)
        self.spill = spill or SpillGate(rng=rng)
        self._mixed_now: frozenset[str] = frozenset()
        self._lately_mixed: tuple[str, ...] = ()
        self.report_interval_s = DIRECT_INTERVAL_S
        self.usage = UsageCounter(window_s=usage_window_s)
        self.table: RouteTable | None = None
        self._configured = anyio.Event()
        self.revision = 0
        self.gateway_count = 1

    @property
    def version(self) -> int:
        """The version of the configuration in force here, 0 without one."""
        return self.table.cfg.version if self.table else 0

    async def wait_configured(self, timeout_s: float) -> None:
        """Return when there is a configuration, or after `timeout_s`."""
        with anyio.move_on_after(timeout_s):
            await self._configured.wait()

    def retry_budget(self, service: str) -> RetryBudget:
        """Return a service's retry budget."""
        if service not in self._retry_budgets:
            self._retry_budgets[service] = RetryBudget(
                policy=self._retry_policy,
                now=self._clock.monotonic(),
                phase=self._rng.random(),
            )
        return self._retry_budgets[service]

    def wall_s(self) -> float:
        """Return the Unix time that control's hosts agree on."""
        return self._wall_time.correct(
            self._clock.utcnow().timestamp(), self._clock.monotonic()
        )

    def blocking_part(self, parts: Sequence[str]) -> str:
        """Return the part that a request is refused for, or ""."""
        now = self._clock.monotonic()
        alone = now - self._leader_heard_at > ALONE_AFTER_S
        return self.crashes.blocking_part(
            parts, now, self.wall_s(), alone=alone
        )

    def record_crash(self, endpoint: EndpointRecord) -> bool:
        """Record that an endpoint has crashed; return whether that is new."""
        crash = self.crashes.settle((endpoint.id, endpoint.born_ms))
        if crash is None:
            return False
        self._log_crash(crash)
        return True

    def mixed_services(self) -> frozenset[str]:
        """Return the services that have or lately had several versions."""
        return self._mixed_now.union(self._lately_mixed)

    def record_prefill(self, service: str, tokens: int) -> None:
        """Count prompt tokens that an endpoint has to prefill."""
        self._prefill_rates[service].add(self._clock.monotonic(), tokens)

    def measures_speed(self, work: Work, choice: Choice) -> bool:
        """Whether an attempt that starts now will tell an engine's speed."""
        endpoint = choice.endpoint
        return measures_speed(
            tokens=work.tokens,
            shared_tokens=work.shared_tokens,
            uncached_tokens=choice.uncached_tokens,
            queued_tokens=endpoint.queued_tokens,
            active=endpoint.total_active(),
            slots=endpoint.record.slots,
        )

    def record_first_event(
        self, choice: Choice, time_s: float, now: float
    ) -> None:
        """Record the time to the first event of an attempt that measures."""
        self.speeds.observe(
            choice.endpoint.record.service,
            choice.uncached_tokens,
            time_s,
            now,
            remote=choice.endpoint.remote,
        )

    def sync_request(self) -> GatewaySync:
        """Return the message that reports this gateway's state to control."""
        now = self._clock.monotonic()
        self.crashes.expire(now)
        info = self._info()
        loads = self.placement.loads()
        usage_window, usage = self.usage.report(self.wall_s(), now)
        return GatewaySync(
            gateway=info,
            version=self.version,
            revision=self.revision,
            seq=self._other_loads.record_report(loads),
            interval_s=self.report_interval_s,
            loads_source=self._other_loads.source,
            loads_cursor=self._other_loads.cursor,
            controls=self._controls_digest(),
            loads=loads,
            usage=usage,
            usage_window=usage_window,
            wall_s=self._clock.utcnow().timestamp(),
            reading={
                service: rate.value(now)
                for service, rate in self._prefill_rates.items()
            },
            needed=self.limits.needed() | self.endpoint_limits.take_needed(),
            prefetch=self.limits.prefetch(),
            suspicion_revision=self.crashes.revision,
            crashes=self.crashes.crashes(),
            answers=self.crashes.answers(),
            refused=self.crashes.refused(),
            limits_revision=self.endpoint_limits.revision,
            stated_limits=self.endpoint_limits.news(),
            leaving=self.holds.leaving(),
            observed=Observed(
                room=self.room.report(now),
                speeds=self.speeds.report(now),
                outcomes=self.versions.report(now),
                flows=self.spill.report(now),
            ),
            news_id=self._news.news.id,
            rollouts_revision=self.versions.revision,
        )

    def record_statements(
        self, endpoint: EndpointRecord, head: ReplyHead
    ) -> None:
        """Record what a reply states about its endpoint."""
        per_s = head.limit_per_s
        if self.endpoint_limits.record(endpoint, per_s, self.wall_s()):
            self._events.emit(
                "endpoint_limit", endpoint=endpoint.id, per_s=per_s
            )
        if head.leaving and self.holds.record_leaving(endpoint):
            self._events.emit(
                "endpoint_leaving",
                endpoint=endpoint.id,
                born_ms=endpoint.born_ms,
            )
        if head.retry_after_s is not None:
            hold_s = self.holds.record_refusal(
                endpoint, head.retry_after_s, self._clock.monotonic()
            )
            self._events.emit(
                "endpoint_held",
                endpoint=endpoint.id,
                stated_s=head.retry_after_s,
                hold_s=round(hold_s, 3),
            )

    def observe(self, choice: Choice, actual_s: float, now: float) -> None:
        """Learn from the time until a reply began."""
        record = choice.endpoint.record
        self.spill.observe(
            record.service,
            record.failure_domain,
            choice.baseline_s,
            actual_s,
            now,
        )
        self.placement.observe(choice, actual_s, now)

    def zone(self, service: str, work: Work) -> Zone | None:
        """Return the zone that a request should go to, None for any."""
        key = work.affinity_key if len(work.parts) > 1 else ""
        now = self._clock.monotonic()
        return self.spill.zone(
            service, key, now, follows_leader=self.follows_leader(now)
        )

    def held_endpoints(self, service: str) -> frozenset[str]:
        """Return a service's endpoints that asked for no requests now."""
        if self.holds.is_empty:
            return frozenset()
        now = self._clock.monotonic()
        return frozenset(
            endpoint.id
            for endpoint in self.placement.endpoints_of(service)
            if self.holds.excludes(endpoint.record, now)
        )

    def exhausted_endpoints(self) -> frozenset[str]:
        """Return the endpoints that their rate limits exclude now."""
        now = self._clock.monotonic()
        return self.endpoint_limits.exhausted_ids(
            now, alone=self.limits.uses_fallback(now)
        )

    def available_in_s(self, service: str) -> float:
        """Return the seconds until an endpoint that is held takes requests.

        It is 0 if no endpoint is held, or if the time is not known.
        """
        now = self._clock.monotonic()
        exhausted_ids = self.exhausted_endpoints()
        waits = (
            max(
                self.holds.remaining_s(endpoint.record, now),
                self.endpoint_limits.available_in_s((endpoint.id,), now)
                if endpoint.id in exhausted_ids
                else 0.0,
            )
            for endpoint in self.placement.endpoints_of(service)
            if endpoint.usable(now)
            and not self.holds.is_leaving(endpoint.record)
        )
        return min(waits, default=0.0)

    def count_usage(self, customer: str) -> None:
        """Count a customer's request that an endpoint began to run."""
        self.usage.count_request(customer, self.wall_s())

    def apply_reply(self, reply: SyncReply) -> None:
        """Apply the reply of a control process.

        Versions and revisions that are not newer change nothing.
        """
        wall_s = self._clock.utcnow().timestamp()
        now = self._clock.monotonic()
        self.usage.record_reply()
        self._wall_time.observe(reply.leader, reply.wall_s, wall_s, now)
        if reply.document is not None and reply.version > self.version:
            self._apply_document(reply.document)
        # Before the endpoints: those of a new version may be among them.
        if reply.rollouts is not None:
            self.versions.set_rollouts(reply.rollouts, reply.rollouts_revision)
        if reply.endpoints is not None and reply.revision > self.revision:
            self._note_new_versions(reply.endpoints)
            if reply.partial:
                self.placement.change_endpoints(reply.endpoints)
            else:
                self.placement.update_endpoints(reply.endpoints)
            self._mixed_now = self._find_mixed()
            # Only now, so that what can't be applied is sent again.
            self.revision = reply.revision
            self._settle_ended()
        self._lately_mixed = reply.mixed
        if reply.suspicion is not None:
            self.crashes.apply(reply.suspicion)
        if reply.leader_age_s <= MAX_LEADER_AGE_S:
            self._leader_heard_at = now
        self.gateway_count = max(1, reply.gateways)
        self.report_interval_s = reply.interval_s
        self.limits.set_gateway_count(self.gateway_count, reply.interval_s)
        self.endpoint_limits.set_gateway_count(self.gateway_count)
        if reply.limits is not None:
            self.endpoint_limits.apply(reply.limits, reply.limits_revision)
        self._other_loads.apply(reply.loads, reply.included_seq)
        self.placement.set_other_loads(self._other_loads.loads())
        self._apply_news(reply, now)
        if reply.granting:
            self.limits.apply_grants(
                without_endpoints(reply.grants),
                without_endpoints(reply.waits),
                now,
                reply.leader_age_s,
            )
            self.endpoint_limits.apply_grants(reply.grants, reply.waits, now)

    def follows_leader(self, now: float) -> bool:
        """Whether the leader's decisions are recent enough to be followed."""
        return self._news.age_s(now) <= NEWS_EXPIRY_S

    def follows_rollouts(self, now: float) -> bool:
        """Whether the leader's shares of versions may be followed."""
        return self._news.age_s(now) <= self.versions.news_expiry_s

    def _apply_news(self, reply: SyncReply, now: float) -> None:
        if not self._news.receive(reply.news, reply.news_age_s, now):
            return
        news = self._news.news
        self.room.apply(news.levels, now)
        self.speeds.apply(news.speeds, now)
        self.placement.set_prefill_speeds(self.speeds.tokens_per_s())
        self.versions.apply(news.versions, now)
        self.spill.apply(news.spill, now)

    def _find_mixed(self) -> frozenset[str]:
        versions: defaultdict[str, set[str]] = defaultdict(set)
        for endpoint in self.placement.endpoints():
            versions[endpoint.record.service].add(endpoint.record.version)
        return frozenset(s for s, found in versions.items() if len(found) > 1)

    def _note_new_versions(self, records: Iterable[EndpointRecord]) -> None:
        """Note endpoints that have started anew with another version."""
        known = {e.id: e.record.version for e in self.placement.endpoints()}
        for record in records:
            if known.get(record.id, record.version) != record.version:
                self.open_streams.endpoint_changed(
                    record.id,
                    Origin(service=record.service, version=record.version),
                )

    def _settle_ended(self) -> None:
        running = {
            (endpoint.id, endpoint.record.born_ms)
            for endpoint in self.placement.endpoints()
        }
        self.endpoint_limits.retain(dict(running))
        self.holds.retain(dict(running))
        for crash in self.crashes.settle_ended(running):
            self._log_crash(crash)

    def _log_crash(self, crash: Crash) -> None:
        self._events.emit(
            "endpoint_crashed",
            urgent=True,
            endpoint=crash.endpoint,
            born_ms=crash.born_ms,
            at_s=round(crash.at_s, 3),
            suspects=sorted(crash.parts),
        )

    def _apply_document(self, document: bytes) -> None:
        decoded = unpack(document).bind(self._decode)
        if isinstance(decoded, Bad):
            logging.error(
                "configuration from control refused, "
                "keeping the previous one: %s",
                decoded.failure(),
            )
            return
        cfg = decoded.unwrap()
        self.table = RouteTable(cfg=cfg)
        self._configured.set()
        self.limits.configure(cfg.customers)
        self.limit_queue.configure({c.name for c in cfg.customers})
        self.placement.set_services(cfg.services)
        self.speeds.set_services(cfg.services)
        self.room.forget(cfg.services)
        forget_unnamed(self._retry_budgets, cfg.services)
        forget_unnamed(self._prefill_rates, cfg.services)
        self.spill.forget_unnamed(cfg.services)
        self._events.emit("config", version=cfg.version)
