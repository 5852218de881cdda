"""Which version of its service began each stream.

Endpoints of several versions may serve side by side in one service, and a
stream may go on only at the version that began it. `OriginTable` is
replicated: it holds the versions that each service had, and, for services with
more than one, the version of each stream that is longer than a moment. A
stream that is not recorded began at the only version that its service had
while it may have begun; with several, its version is unknown. `OpenStreams` is
what one gateway knows of its own streams.

Times are Unix times in the table and monotonic in `OpenStreams`.
"""

from collections import OrderedDict
from collections.abc import Container, Iterable, Iterator
from hashlib import blake2b

from chervilshift.core.fleet.model import ServingConfig
from chervilshift.core.message import Message

__all__ = [
    "KEY_BYTES",
    "OpenStreams",
    "Origin",
    "OriginBatch",
    "OriginSnapshot",
    "OriginTable",
    "decide_origin",
    "is_incarnation",
    "keep_s",
    "stream_key",
]

KEY_BYTES = 8
# A stream, with all attempts of its client, is over after this time and twice
# the longest timeout of a route.
STREAM_SLACK_S = 60.0
# Bounds of what is kept; the oldest is dropped.
MAX_RECORDED_BYTES = KEY_BYTES << 18
MAX_VERSIONS = 32
# Services that the configuration doesn't name have no streams.
MAX_UNNAMED_VERSIONS = 4
MAX_ENDED_SERVICES = 256
MAX_OPEN_STREAMS = 16_384


def stream_key(request_id: bytes) -> bytes:
    """Return the key of the stream whose first event a request brought."""
    return blake2b(request_id, digest_size=KEY_BYTES).digest()


def keep_s(cfg: ServingConfig | None) -> float:
    """Return how long after its beginning a stream may be taken up."""
    return STREAM_SLACK_S + 2 * (cfg.longest_stream_s if cfg else 0.0)


class Origin(Message, tag=False, array_like=True):
    """A service, and the version of it that began a stream."""

    service: str
    version: str


class OriginBatch(Message, tag=False, array_like=True):
    """Streams of one origin.

    `keys` are their keys, one after the other; `at_s` is the second in which
    they were recorded, 0 before that.
    """

    origin: Origin
    keys: bytes
    at_s: int = 0


class OriginSnapshot(Message):
    """Snapshot of an `OriginTable`."""

    batches: tuple[OriginBatch, ...] = ()
    versions: dict[str, dict[str, float]] = {}


class OriginTable:
    """The origins of streams, and the versions of each service."""

    __slots__ = ("_recorded", "_size_bytes", "_versions")

    def __init__(self, *, snapshot: OriginSnapshot | None = None):
        stored = snapshot or OriginSnapshot()
        # Keys by second and origin, the oldest first.
        self._recorded = {
            (batch.at_s, batch.origin): batch.keys for batch in stored.batches
        }
        self._size_bytes = sum(map(len, self._recorded.values()))
        # When each version's last endpoint ended, 0 while it serves.
        self._versions = {
            service: dict(versions)
            for service, versions in stored.versions.items()
        }

    def snapshot(self) -> OriginSnapshot:
        """Return a snapshot of the whole table."""
        return OriginSnapshot(
            batches=tuple(
                OriginBatch(origin=origin, keys=keys, at_s=at_s)
                for (at_s, origin), keys in self._recorded.items()
            ),
            versions={
                service: dict(versions)
                for service, versions in self._versions.items()
            },
        )

    def find(self, key: bytes) -> frozenset[Origin]:
        """Return the recorded origins of a stream, more than one if unclear.

        A stream may have gone on at another service, as its route led there.
        """
        return frozenset(
            origin
            for (_, origin), keys in self._recorded.items()
            if _contains(keys, key)
        )

    def versions_since(self, service: str, since_s: float) -> frozenset[str]:
        """Return the versions that a service has or had after a time."""
        return frozenset(
            version
            for version, ended_s in self._versions.get(service, {}).items()
            if not ended_s or ended_s >= since_s
        )

    def mixed_services(self, since_s: float) -> tuple[str, ...]:
        """Return the services that had several versions after a time."""
        return tuple(
            sorted(
                service
                for service in self._versions
                if len(self.versions_since(service, since_s)) > 1
            )
        )

    # Applied in log order

    def note(
        self, batches: Iterable[OriginBatch], now_s: float, kept_s: float
    ) -> None:
        """Record streams, and forget those recorded over `kept_s` ago."""
        for batch in batches:
            place = (int(now_s), batch.origin)
            self._recorded[place] = self._recorded.get(place, b"") + batch.keys
            self._size_bytes += len(batch.keys)
        while self._recorded:
            place = next(iter(self._recorded))
            is_old = place[0] < now_s - kept_s
            if not is_old and self._size_bytes <= MAX_RECORDED_BYTES:
                break
            self._size_bytes -= len(self._recorded.pop(place))

    def note_versions(
        self,
        service: str,
        serving: Iterable[str],
        now_s: float,
        *,
        named: Container[str] = (),
    ) -> None:
        """Record which versions of a service have endpoints now.

        `named` are the services that the configuration names. Of the others
        without endpoints, those that ended last are kept.
        """
        versions = self._versions.pop(service, {})
        for version in versions:
            versions[version] = versions[version] or now_s
        for version in serving:
            # The versions are in the order in which they served last.
            versions.pop(version, None)
            versions[version] = 0.0
        limit = MAX_VERSIONS if service in named else MAX_UNNAMED_VERSIONS
        while len(versions) > limit:
            del versions[next(iter(versions))]
        if versions:
            self._versions[service] = versions
        if len(self._versions) > MAX_ENDED_SERVICES:
            self._forget_services(named)

    def _forget_services(self, named: Container[str]) -> None:
        ended = [
            service
            for service, versions in self._versions.items()
            if service not in named and all(versions.values())
        ]
        for service in ended[: max(0, len(ended) - MAX_ENDED_SERVICES)]:
            del self._versions[service]


def _contains(keys: bytes, key: bytes) -> bool:
    position = keys.find(key)
    while position % KEY_BYTES and position >= 0:
        position = keys.find(key, position + 1)
    return position >= 0


class _OpenStream:
    """A stream's possible origins, the endpoint that began it, and when.

    `reported` is true once control has recorded all origins.
    """

    __slots__ = ("at", "endpoint_id", "origins", "reported")

    def __init__(self, *, at: float, endpoint_id: str):
        self.at = at
        self.endpoint_id = endpoint_id
        self.origins: set[Origin] = set()
        self.reported = False


class OpenStreams:
    """The streams of one gateway that have begun and not ended as a whole."""

    __slots__ = ("_streams",)

    def __init__(self):
        self._streams: OrderedDict[bytes, _OpenStream] = OrderedDict()

    def begin(
        self,
        key: bytes,
        origin: Origin,
        endpoint_id: str,
        now: float,
        *,
        reported: bool = False,
    ) -> None:
        """Record that a stream's event came from an endpoint of an origin."""
        held = self._streams.get(key)
        if held is None:
            held = self._streams[key] = _OpenStream(
                at=now, endpoint_id=endpoint_id
            )
            held.reported = reported
        elif origin not in held.origins:
            held.reported = False
        held.origins.add(origin)
        while len(self._streams) > MAX_OPEN_STREAMS:
            self._streams.popitem(last=False)

    def end(self, key: bytes) -> None:
        """Forget a stream that its client got as a whole."""
        self._streams.pop(key, None)

    def find(self, key: bytes) -> frozenset[Origin]:
        """Return the origins of a stream, empty if it is not known."""
        held = self._streams.get(key)
        return frozenset(held.origins) if held else frozenset()

    def endpoint_changed(self, endpoint_id: str, origin: Origin) -> None:
        """Record that an endpoint has started anew with another version.

        Which of the two began its streams is not clear: the endpoint may have
        been another one before its announcement was known here.
        """
        for held in self._streams.values():
            if held.endpoint_id == endpoint_id and origin not in held.origins:
                held.origins.add(origin)
                held.reported = False

    def expire(self, now: float, kept_s: float) -> None:
        """Forget streams that began too long ago to be taken up."""
        while self._streams:
            oldest = next(iter(self._streams))
            if now - self._streams[oldest].at <= kept_s:
                return
            del self._streams[oldest]

    def unreported(
        self, services: Iterable[str], limit: int
    ) -> tuple[OriginBatch, ...]:
        """Return origins in these services that control may not have."""
        services = frozenset(services)
        keys: dict[Origin, list[bytes]] = {}
        for key, origin in self._unreported(services, limit):
            keys.setdefault(origin, []).append(key)
        return tuple(
            OriginBatch(origin=origin, keys=b"".join(found))
            for origin, found in keys.items()
        )

    def _unreported(
        self, services: frozenset[str], limit: int
    ) -> Iterator[tuple[bytes, Origin]]:
        for key, held in self._streams.items():
            if held.reported:
                continue
            for origin in held.origins:
                if origin.service in services and limit > 0:
                    limit -= 1
                    yield key, origin

    def record_reported(self, batches: Iterable[OriginBatch]) -> None:
        """Record that control has these origins."""
        recorded: dict[bytes, set[Origin]] = {}
        for batch in batches:
            for start in range(0, len(batch.keys), KEY_BYTES):
                key = batch.keys[start : start + KEY_BYTES]
                recorded.setdefault(key, set()).add(batch.origin)
        for key, origins in recorded.items():
            held = self._streams.get(key)
            if held is not None and held.origins <= origins:
                held.reported = True


def is_incarnation(
    born_ms: int, named_ms: int | None, *, goes_on: bool
) -> bool:
    """Return whether a stream may be sent on a connection to an endpoint.

    `born_ms` is the announced incarnation, `named_ms` the one that was named
    on the connection, None without any. A stream that goes on is not sent to
    one that is not known.
    """
    if named_ms is None:
        return not goes_on
    return named_ms == born_ms


def decide_origin(
    recorded: Iterable[Origin], services: Iterable[str]
) -> Origin | None:
    """Return where a stream goes on among services, None if it is unclear."""
    services = frozenset(services)
    possible = [o for o in recorded if o.service in services]
    return possible[0] if len(possible) == 1 else None
