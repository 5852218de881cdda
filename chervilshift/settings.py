"""Schema and loading of process settings, one YAML file per process."""

import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
from absl import logging
from msgspec import Meta
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.connguard import ClientLimits
from chervilshift.core.fleet.limits import LimitPolicy
from chervilshift.core.fleet.versions import RolloutPolicy
from chervilshift.core.fleet.zones import SpillPlanner
from chervilshift.errors import SettingsRefused
from chervilshift.keys import HASH_PATTERN
from chervilshift.structs import convert
from chervilshift.wire.rpc import Credentials
from chervilshift.yamldoc import locate, read

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "GatewaySettings",
    "RoutedControlSettings",
    "RoutedSettings",
    "SettingsWatch",
    "Tls",
    "load",
    "load_or_raise",
]

Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]+$|^\[.*\]:[0-9]+$")]
KeyHash = Annotated[str, Meta(pattern=HASH_PATTERN)]
PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(gt=0, le=1)]
# Shortest election timeout in seconds. At most one second: the time that a new
# leader waits for its predecessor's lease to expire covers no more.
ElectionTimeout = Annotated[float, Meta(gt=0, le=1.0)]
ToleratedLosses = Annotated[int, Meta(ge=1)]


class _Section(msgspec.Struct, kw_only=True, frozen=True):
    """Base of all settings, immutable."""


class Tls(_Section, kw_only=True, forbid_unknown_fields=True):
    """PEM files for mutual TLS between the system's processes."""

    certificate: Path
    key: Path
    ca: Path


class ProcessSettings(_Section, kw_only=True):
    """Settings that every process has.

    `process` is the process's name, which events and logs show. `rpc_listen`
    is where it accepts calls of other processes, with `cluster_key`. The
    event file is written to `events_folder`. `client_limits` bounds the
    connections to all listeners and what they hold.
    """

    process: str
    host: str
    failure_domain: str
    region: str
    rpc_listen: Address
    cluster_key: Annotated[str, Meta(min_length=16)]
    events_folder: Path | None = None
    tls: Tls | None = None
    log_level: str = "info"
    client_limits: ClientLimits = ClientLimits()

    def credentials(self) -> Credentials:
        """Return the key and TLS contexts for calls between processes."""
        if self.tls is None:
            return Credentials(key=self.cluster_key)
        return Credentials(
            key=self.cluster_key,
            server_tls=_tls_context(self.tls, ssl.Purpose.CLIENT_AUTH),
            client_tls=_tls_context(self.tls, ssl.Purpose.SERVER_AUTH),
        )


class VoterSettings(_Section, kw_only=True, forbid_unknown_fields=True):
    """One of the first voters of a new cluster."""

    name: str
    address: Address
    failure_domain: str


class ControlSettings(ProcessSettings, kw_only=True):
    """Settings of a `control` process.

    `control` has addresses of control processes, to find the leader. The
    leader reads the state of endpoints from one of `entries`. Other processes
    call this one at `rpc_address`, by default `rpc_listen`.
    """

    data_folder: Path
    control: list[Address]
    voters: list[VoterSettings] = []
    entries: list[Address] = []
    rpc_address: Address | None = None
    election_s: ElectionTimeout = 1.0
    tolerated_losses: ToleratedLosses = 1


class RoutedSettings(ProcessSettings, kw_only=True):
    """Settings that gateways and their control processes have in common.

    `seeds` are public addresses of some control processes. For calls from
    other processes these listen on the same port as this process. `regions`
    maps failure domains to regions. `limit_window_s`, `limit_tolerance` and
    `limit_slack` are the fields of `LimitPolicy`; usage is reported per
    window of `usage_window_s`. `rollout_share`, `rollout_slack` and
    `rollback_ms` are the fields of `RolloutPolicy`; without `rollout_share`
    there are no rollouts. With `zone_spill` work stays in its failure
    domain or region as far as that has room; `region_link_mbit_s` is the
    capacity of the link between two regions in each direction.
    """

    seeds: list[Address]
    regions: dict[str, str]
    limit_window_s: PositiveFloat
    limit_tolerance: NonNegativeFloat
    limit_slack: NonNegativeFloat
    usage_window_s: PositiveFloat
    metrics_listen: Address | None = None
    rollout_share: Share | None = None
    rollout_slack: NonNegativeFloat = 0.0
    rollback_ms: PositiveFloat = 5000.0
    zone_spill: bool = False
    region_link_mbit_s: PositiveFloat = 30.0

    def limit_policy(self) -> LimitPolicy:
        """Return the policy for how far customers' limits may be exceeded."""
        return LimitPolicy(
            window_s=self.limit_window_s,
            tolerance=self.limit_tolerance,
            slack=self.limit_slack,
        )

    def rollout_policy(self) -> RolloutPolicy | None:
        """Return the limits of rollouts, None if there are to be none."""
        if self.rollout_share is None:
            return None
        return RolloutPolicy(
            share=self.rollout_share,
            slack=self.rollout_slack,
            rollback_s=self.rollback_ms / 1000,
        )

    def spill_planner(self) -> SpillPlanner | None:
        """Return a new planner of work that leaves its failure domain."""
        if not self.zone_spill:
            return None
        return SpillPlanner(
            regions=self.regions,
            link_bytes_per_s=self.region_link_mbit_s * 1e6 / 8,
        )

    @property
    def control(self) -> list[str]:
        """Addresses on which the seeds accept calls of other processes."""
        port = self.rpc_listen.rpartition(":")[2]
        return [f"{s.rpartition(':')[0]}:{port}" for s in self.seeds]


class RoutedControlSettings(RoutedSettings, kw_only=True):
    """Settings of a `control` process that serves gateways.

    `bootstrap` is true only at the first start of a whole cluster; the seeds
    are then its first voters. `cloud` is the address of the cloud's API.
    Endpoints announce themselves every `announce_interval_ms`. A new leader
    calls the cloud only after its predecessor's lease, `duty_lease_ms`.
    The voter set stays large enough that `tolerated_losses` of its hosts may
    be lost at once.
    """

    data_folder: Path
    api_listen: Address
    directory_listen: Address
    bootstrap: bool = False
    cloud: Address
    announce_interval_ms: PositiveFloat
    duty_lease_ms: NonNegativeFloat
    election_s: ElectionTimeout = 1.0
    tolerated_losses: ToleratedLosses = 1

    @property
    def rpc_address(self) -> str:
        """Address at which other processes call this one."""
        return self.rpc_listen


class GatewaySettings(RoutedSettings, kw_only=True):
    """Settings of a `gateway` process.

    It has to stop within `stop_within_s` of the signal. `retry_ratio`,
    `retry_extra` and `retry_window_s` are the fields of `RetryPolicy`.
    """

    listen: Address
    ready_listen: Address
    stop_within_s: PositiveFloat
    retry_ratio: NonNegativeFloat
    retry_extra: NonNegativeFloat
    retry_window_s: PositiveFloat


class EntrySettings(ProcessSettings, kw_only=True):
    """Settings of an `entry` process.

    Callers reach it at `address`, by default `listen`, and other processes
    at `rpc_address`, by default `rpc_listen`. `site` selects the overlay of
    the configuration. Keys are SHA-256 hashes. A caller may use a lookup of
    entries for `lookup_ttl_s`.
    """

    listen: Address
    address: Address | None = None
    rpc_address: Address | None = None
    control: list[Address]
    peers: list[Address] = []
    site: str = ""
    operator_keys: list[KeyHash] = []
    endpoint_keys: list[KeyHash] = []
    drain_timeout_s: PositiveFloat = 900.0
    lookup_ttl_s: PositiveFloat = 10.0


def load(
    schema: type[ProcessSettings], path: Path
) -> Result[ProcessSettings, SettingsRefused]:
    """Read and validate a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        return Bad(SettingsRefused(faults=f"{path}: {exc.strerror}"))
    parsed = read(str(path), text)
    if isinstance(parsed, Bad):
        return _refused(parsed.failure())
    document = parsed.unwrap()
    checked = convert(schema, document.data)
    if isinstance(checked, Bad):
        return _refused(
            [locate((document,), f.path, f.reason) for f in checked.failure()]
        )
    return checked


def load_or_raise(
    schema: type[ProcessSettings], path: str | Path
) -> ProcessSettings:
    """Return the settings in a file; raises SettingsRefused."""
    result = load(schema, Path(path))
    if isinstance(result, Bad):
        raise result.failure()
    return result.unwrap()


class SettingsWatch:
    """Reloads a settings file; an invalid file changes nothing."""

    __slots__ = ("_apply", "_path", "_schema")

    def __init__(
        self,
        *,
        schema: type[ProcessSettings],
        path: Path,
        apply: Callable[[ProcessSettings], None],
    ):
        self._schema = schema
        self._path = path
        self._apply = apply

    def reload(self) -> None:
        """Read the file again and apply its settings if they are valid."""
        result = load(self._schema, self._path)
        if isinstance(result, Bad):
            logging.error(
                "settings not reloaded, current settings stay in effect: %s",
                result.failure(),
            )
            return
        self._apply(result.unwrap())


def _refused(faults: list) -> Result[ProcessSettings, SettingsRefused]:
    text = "\n".join(str(fault) for fault in faults)
    return Bad(SettingsRefused(faults=text))


def _tls_context(tls: Tls, purpose: ssl.Purpose) -> ssl.SSLContext:
    context = ssl.create_default_context(purpose, cafile=tls.ca)
    context.load_cert_chain(tls.certificate, tls.key)
    context.verify_mode = ssl.CERT_REQUIRED
    # Addresses of processes are IP addresses, so there is no host name to
    # check; the cluster's own CA authenticates the peer.
    context.check_hostname = False
    context.set_alpn_protocols(["h2"])
    return context
