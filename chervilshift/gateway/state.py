"""What a gateway knows: configuration, endpoints, limits, budgets."""

from collections import defaultdict
from collections.abc import Callable

import anyio
from absl import logging
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.clock import Clock
from chervilshift.core.fleet.limits import LimitAccount, LimitPolicy
from chervilshift.core.fleet.model import ServingConfig
from chervilshift.core.fleet.placement import Placement
from chervilshift.core.fleet.retries import RetryBudget, RetryPolicy
from chervilshift.core.fleet.routes import RouteTable
from chervilshift.core.fleet.sync import GatewayInfo, GatewaySync, SyncReply
from chervilshift.core.fleet.usage import UsageCounter
from chervilshift.core.fleet.walltime import WallTime
from chervilshift.core.rates import DecayingRate
from chervilshift.errors import Failure
from chervilshift.events import EventLog

__all__ = ["GatewayState"]

# Long enough to smooth clumps, short enough to grow before a boot is over.
READING_WINDOW_S = 4.0


class GatewayState:
    """Held by the tasks of one gateway; changed by control's replies."""

    def __init__(
        self,
        *,
        info: Callable[[], GatewayInfo],
        placement: Placement,
        limit_policy: LimitPolicy,
        retry_policy: RetryPolicy,
        usage_window_s: float,
        decode: Callable[[bytes], Result[ServingConfig, Failure]],
        clock: Clock,
        events: EventLog,
    ):
        self._info = info
        self._decode = decode
        self._clock = clock
        self._events = events
        self._retry_policy = retry_policy
        self._budgets: dict[str, RetryBudget] = {}
        self.placement = placement
        self.limits = LimitAccount(policy=limit_policy)
        self._reading: defaultdict[str, DecayingRate] = defaultdict(
            lambda: DecayingRate(window_s=READING_WINDOW_S)
        )
        self._wall = WallTime()
        self.usage = UsageCounter(window_s=usage_window_s)
        self.table: RouteTable | None = None
        self._configured = anyio.Event()
        self.revision = 0
        self.gateways = 1

    @property
    def version(self) -> int:
        """The version of the configuration in force here, or 0."""
        return self.table.cfg.version if self.table else 0

    async def wait_configured(self, timeout_s: float) -> None:
        """Return when there is a configuration, or after `timeout_s`."""
        with anyio.move_on_after(timeout_s):
            await self._configured.wait()

    def budget(self, service: str) -> RetryBudget:
        """Return a service's retry budget."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                policy=self._retry_policy, now=self._clock.monotonic()
            )
        return self._budgets[service]

    def note_reading(self, service: str, tokens: int) -> None:
        """Note prompt tokens that an endpoint was sent to read."""
        self._reading[service].add(self._clock.monotonic(), tokens)

    def request(self) -> GatewaySync:
        """Return the gateway's news."""
        now = self._clock.monotonic()
        return GatewaySync(
            gateway=self._info(),
            version=self.version,
            revision=self.revision,
            loads=self.placement.loads(),
            usage=self.usage.counts(),
            wall_s=self._clock.utcnow().timestamp(),
            reading={
                service: rate.value(now)
                for service, rate in self._reading.items()
            },
            needed=self.limits.needed(),
            prefetch=self.limits.prefetch(),
        )

    def begun(self, customer: str) -> None:
        """Count a request that an endpoint began to run."""
        wall_s = self._clock.utcnow().timestamp()
        now = self._clock.monotonic()
        self.usage.count_request(customer, self._wall.correct(wall_s, now))

    def absorb(self, peer: str, reply: SyncReply) -> None:
        """Take the news of a control process at the address `peer`.

        Older versions change nothing.
        """
        wall_s = self._clock.utcnow().timestamp()
        now = self._clock.monotonic()
        self._wall.observe(peer, reply.wall_s, wall_s, now)
        if reply.document is not None and reply.version > self.version:
            self._configure(reply.document)
        if reply.endpoints is not None and reply.revision > self.revision:
            self.revision = reply.revision
            self.placement.update_endpoints(reply.endpoints)
        self.gateways = max(1, reply.gateways)
        self.limits.set_gateway_count(self.gateways)
        if reply.led:
            self.placement.set_other_loads(reply.loads)
            if reply.granting:
                self.limits.apply_grants(reply.grants, reply.waits, now)

    def _configure(self, document: bytes) -> None:
        decoded = self._decode(document)
        if isinstance(decoded, Bad):
            logging.error("document refused: %s", decoded.failure())
            return
        cfg = decoded.unwrap()
        self.table = RouteTable(cfg=cfg)
        self._configured.set()
        self.limits.configure(cfg.customers)
        self._events.emit("config", version=cfg.version)
