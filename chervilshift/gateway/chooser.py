"""Chooses the endpoint for the next attempt of a request."""

from functools import partial

from chervilshift.clock import Clock
from chervilshift.core.fleet.placement import Choice, Endpoint
from chervilshift.gateway.admission import RateLimiter
from chervilshift.gateway.exchange import Exchange
from chervilshift.gateway.state import GatewayState
from chervilshift.metrics import Metrics

__all__ = ["EndpointChooser"]


class EndpointChooser:
    """Places requests at endpoints that take them now.

    Endpoints may be held, as they asked for no requests, or exhausted, as
    their rate limit is spent. A stream goes on at endpoints of its version,
    and rollouts exclude versions.
    """

    __slots__ = ("_clock", "_limiter", "_metrics", "_state")

    def __init__(
        self,
        *,
        state: GatewayState,
        limiter: RateLimiter,
        clock: Clock,
        metrics: Metrics,
    ):
        self._state = state
        self._limiter = limiter
        self._clock = clock
        self._metrics = metrics

    async def choose(self, exchange: Exchange) -> Choice | None:
        """Return the endpoint for the next attempt, or None.

        Waits shortly if only rate limits of endpoints prevent the attempt.
        """
        choice = self._place(exchange)
        if choice is None and self._exhausted_ids(exchange):
            choice = await self._limiter.wait_for_endpoint(
                exchange,
                self._exhausted_ids(exchange),
                lambda: self._place(exchange),
            )
        return choice

    def has_alternative(self, exchange: Exchange, endpoint: Endpoint) -> bool:
        """Return whether an endpoint other than this one is likely to reply.

        It did not fail the request before.
        """
        barred_ids = self._barred_ids(exchange)
        barred_ids |= self._state.exhausted_endpoints()
        barred_ids |= exchange.failed_ids | {endpoint.id}
        return self._state.placement.has_responsive(
            exchange.service, self._clock.monotonic(), barred_ids
        )

    def has_other(self, exchange: Exchange, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is left that has not got the request."""
        now = self._clock.monotonic()
        barred_ids = self._barred_ids(exchange) | exchange.barred_ids
        barred_ids |= {endpoint.id}
        endpoints = self._state.placement.endpoints_of(exchange.service)
        return any(
            other.usable(now) and other.id not in barred_ids
            for other in endpoints
        )

    def explain(self, exchange: Exchange) -> tuple[str, float]:
        """Return why there is no endpoint, and for how many seconds.

        The time is 0 if it is not known.
        """
        reason = "no usable endpoint"
        if exchange.version is not None:
            reason += f" of version {exchange.version or 'unstated'}"
        if self._state.versions.has_rule(exchange.service):
            reason += ", as far as the rollout allows"
        if self._exhausted_ids(exchange):
            self._metrics.count("endpoint_limits_spent")
            reason = "rate limits of the endpoints are spent"
        elif self._state.held_endpoints(exchange.service):
            self._metrics.count("endpoints_held_back")
            reason = "the endpoints take no requests for now"
        return reason, self._state.available_in_s(exchange.service)

    def _place(self, exchange: Exchange) -> Choice | None:
        """Choose an endpoint, of the version preferred if there is one."""
        versions = self._state.versions
        if not versions.has_rule(exchange.service):
            return self._place_among(exchange, frozenset())
        for excluded_ids in self._version_preferences(exchange):
            choice = self._place_among(exchange, excluded_ids)
            if choice is not None:
                return choice
        return None

    def _version_preferences(
        self, exchange: Exchange
    ) -> tuple[frozenset[str], ...]:
        """Return sets of endpoints that rollouts exclude, the best first.

        What a request has drawn is kept while it waits. Retries prefer the
        safe version.
        """
        now = self._clock.monotonic()
        versions = self._state.versions
        if exchange.wants_new is None:
            exchange.wants_new = versions.wants_new(
                exchange.service, exchange.route.name
            )
        return versions.preferences(
            exchange.service,
            self._state.placement.endpoints_of(exchange.service),
            now,
            self._state.wall_s(),
            wants_new=exchange.wants_new and not exchange.failed_ids,
            is_fresh=self._state.follows_rollouts(now),
            version=exchange.version,
        )

    def _place_among(
        self, exchange: Exchange, excluded_ids: frozenset[str]
    ) -> Choice | None:
        """Choose an endpoint and spend what its rate limit takes for it."""
        spec = self._state.table.cfg.services.get(exchange.service)
        if spec is None:
            return None
        now = self._clock.monotonic()
        limits = self._state.endpoint_limits
        held_ids = self._held_ids(exchange) | excluded_ids
        exhausted_ids = self._state.exhausted_endpoints()
        barred_ids = held_ids | exhausted_ids
        failed_ids = frozenset(exchange.failed_ids)
        choose = partial(
            self._state.placement.choose,
            zone=self._state.zone(exchange.service, exchange.work),
        )
        choice = choose(spec, exchange.work, now, failed_ids | barred_ids)
        if choice is None and exchange.route.repeatable:
            # Only endpoints that failed are left; the failure may have passed.
            # One that got the request may still answer it: the id can't tell
            # this from the answer to another attempt.
            barred_ids |= frozenset(exchange.barred_ids)
            choice = choose(spec, exchange.work, now, barred_ids)
        preferred = choice
        if exhausted_ids:
            willing = choose(spec, exchange.work, now, failed_ids | held_ids)
            preferred = willing or choice
        if preferred is not None:
            limits.want(preferred.endpoint.id, now)
        if choice is not None:
            limits.spend(choice.endpoint.id, now)
        return choice

    def _held_ids(self, exchange: Exchange) -> frozenset[str]:
        """Return the endpoints that are held, or of another version."""
        held_ids = self._state.held_endpoints(exchange.service)
        if exchange.version is None:
            return held_ids
        endpoints = self._state.placement.endpoints_of(exchange.service)
        return held_ids.union(
            e.id for e in endpoints if e.record.version != exchange.version
        )

    def _barred_ids(self, exchange: Exchange) -> frozenset[str]:
        """Return the endpoints that are held or not of a version to use."""
        held_ids = self._held_ids(exchange)
        if not self._state.versions.has_rule(exchange.service):
            return held_ids
        for excluded_ids in self._version_preferences(exchange):
            return held_ids | excluded_ids
        endpoints = self._state.placement.endpoints_of(exchange.service)
        return held_ids.union(e.id for e in endpoints)

    def _exhausted_ids(self, exchange: Exchange) -> frozenset[str]:
        """Return the usable endpoints that their rate limits exclude now."""
        now = self._clock.monotonic()
        endpoints = self._state.placement.endpoints_of(exchange.service)
        usable_ids = {e.id for e in endpoints if e.usable(now)}
        usable_ids -= self._barred_ids(exchange)
        return usable_ids & self._state.exhausted_endpoints()
