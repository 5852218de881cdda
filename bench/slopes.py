"""Measures how resource use grows with load, for docs/CAPACITY.md.

Real processes run with sockets on loopback. Processor time and resident
memory of each process are read from /proc, and a forwarder between the
processes counts bytes. Prints one line per point, then the fitted slopes.
"""

import asyncio
import gc
import json
import os
import statistics
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import fire
import httpcore
import msgspec

from chervilshift.core.commands import Claim
from chervilshift.core.ledger import Ledger
from tests.cluster import ENDPOINT_KEY, Caller, Cluster

__all__ = ["main"]

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SETTLE_TIME_S = 3.0
MEASURE_TIME_S = 5.0
ENDPOINT_COUNTS = (10, 30, 100, 300)
STREAM_COUNTS = (10, 30, 60)
CLAIM_CALLER_COUNTS = (1, 2, 4, 8)
ENTRY_COUNTS = (1, 2, 4, 8)
LEDGER_RECORD_COUNTS = (20_000, 50_000, 100_000, 200_000)
TOKEN_GAP_MS = 20


class ProcessUsage:
    """The resource use of a process between two readings of /proc."""

    def __init__(self, pid: int):
        self._pid = pid
        self._first_cpu_s, self._first_at = (
            self._read_cpu_s(),
            time.monotonic(),
        )

    def _read_cpu_s(self) -> float:
        fields = Path(f"/proc/{self._pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S

    def cores_used(self) -> float:
        """Return the mean number of cores in use since construction."""
        return (self._read_cpu_s() - self._first_cpu_s) / (
            time.monotonic() - self._first_at
        )

    def resident_mb(self) -> float:
        """Return the resident memory in megabytes."""
        pages = Path(f"/proc/{self._pid}/statm").read_text().split()[1]
        return int(pages) * PAGE_BYTES / 1e6


class Series:
    """The points of a measured quantity over size, and a linear fit.

    A size is a count or a rate, `unit` that of the quantity.
    """

    def __init__(self, name: str, unit: str):
        self.name = name
        self.unit = unit
        self.sizes: list[float] = []
        self.values: list[float] = []

    def add(self, size: float, value: float) -> None:
        self.sizes.append(size)
        self.values.append(value)
        print(f"  {self.name}: {size:g} -> {value:.4g} {self.unit}")

    def fit(self) -> str:
        """Return slope, intercept and root mean square of the residuals."""
        slope, base = statistics.linear_regression(self.sizes, self.values)
        squared_errors = [
            (value - base - slope * size) ** 2
            for size, value in zip(self.sizes, self.values, strict=True)
        ]
        rms_error = statistics.fmean(squared_errors) ** 0.5
        return (
            f"{self.name}: {slope:.4g} {self.unit} each, base {base:.4g}, "
            f"residual {rms_error:.2g}"
        )


def _make_cluster(
    entries: int, engines: int = 0, services: int = 0
) -> Cluster:
    cluster = Cluster(Path(tempfile.mkdtemp()))
    cluster.add_controls()
    for number in range(entries):
        cluster.add_entry(f"e{number + 1}", number % 3)
    for number in range(engines):
        cluster.add_standin(
            f"m{number + 1}", number=number, gap_ms=TOKEN_GAP_MS,
            answer_tokens=100_000, capacity=64,
        )  # fmt: skip
    for number in range(services):
        cluster.add_standin(f"s{number + 1}", kind="service", delay_ms=0)
    return cluster


class EndpointAnnouncer(threading.Thread):
    """Announces many endpoints once a second over kept-alive connections."""

    def __init__(self, entry: str, count: int):
        super().__init__(daemon=True)
        self.entry = entry
        self.count = count
        self.stop = threading.Event()

    def run(self) -> None:
        headers = {"authorization": f"Bearer {ENDPOINT_KEY}"}
        url = f"http://{self.entry}/v1/endpoints/announce"
        seq = 0
        with httpcore.ConnectionPool() as pool:
            while not self.stop.is_set():
                started_at = time.monotonic()
                seq += 1
                for number in range(self.count):
                    body = json.dumps(self._body(number, seq)).encode()
                    pool.request("POST", url, headers=headers, content=body)
                remaining_s = 1.0 - (time.monotonic() - started_at)
                self.stop.wait(max(0.0, remaining_s))

    def _body(self, number: int, seq: int) -> dict:
        return {
            "id": f"engine-{number}",
            "incarnation": 1,
            "seq": seq,
            "address": f"10.0.0.{number % 250}:9000",
            "host": f"host-{number}",
            "failure_domain": "fd0",
            "region": "west",
            "kind": "engine",
            "serves": ["desk"],
            "running": seq % 16,
        }


def endpoints() -> list[Series]:
    """Measure an entry with announcing endpoints, and one pulling from it."""
    cpu = Series("announced-to entry, cores per endpoint", "cores")
    pulling_cpu = Series("pulling entry, cores per endpoint", "cores")
    memory = Series("entry memory per endpoint", "MB")
    traffic = Series("pulled bytes per endpoint", "B/s")
    for count in ENDPOINT_COUNTS:
        cluster = _make_cluster(2)
        # e2 pulls from e1 through a link that counts bytes.
        link = cluster.links.add(cluster.settings["e1"]["rpc_listen"])
        cluster.settings["e1"]["rpc_address"] = link.address
        cluster.settings["e2"]["peers"] = [link.address]
        for name in ("e1", "e2"):
            cluster.write(name)
        cluster.start()
        cluster.wait_ready()
        announcer = EndpointAnnouncer(cluster.entries["e1"], count)
        announcer.start()
        time.sleep(SETTLE_TIME_S)
        usage = {
            n: ProcessUsage(cluster.processes[n].pid) for n in ("e1", "e2")
        }
        before = link.bytes_from
        time.sleep(MEASURE_TIME_S)
        cpu.add(count, usage["e1"].cores_used())
        pulling_cpu.add(count, usage["e2"].cores_used())
        memory.add(count, usage["e2"].resident_mb())
        traffic.add(count, (link.bytes_from - before) / MEASURE_TIME_S)
        announcer.stop.set()
        announcer.join()
        cluster.close()
    return [cpu, pulling_cpu, memory, traffic]


def _read_streams(caller: Caller, count: int) -> list:
    """Start to read streams, each in a thread of its own; return them."""
    streams = [
        caller.chat(f"stream {n}", max_tokens=2000) for n in range(count)
    ]
    threads = [
        threading.Thread(target=stream.read, daemon=True) for stream in streams
    ]
    for thread in threads:
        thread.start()
    return streams


def _plain_copy_us() -> float:
    """Return the processor time per event of copying by asyncio alone.

    It is in microseconds, for the writer and the reader together.
    """
    events, size = 20_000, 180

    async def run_copy() -> float:
        async def write_events(reader, writer) -> None:
            for _ in range(events):
                writer.write(b"x" * size)
                await writer.drain()
                await asyncio.sleep(0)
            writer.close()

        server = await asyncio.start_server(write_events, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        started_at = time.process_time()
        for _ in range(events):
            await reader.readexactly(size)
        cpu_s = time.process_time() - started_at
        writer.close()
        server.close()
        return cpu_s

    return asyncio.run(run_copy()) / events * 1e6


def streams() -> list[Series]:
    """Measure an entry that relays streams, with and without records.

    Streams are recorded at other entries, so one entry alone has no record.
    """
    measured_series = []
    for entries, name in ((1, "unrecorded"), (3, "recorded")):
        cpu = Series(f"entry, {name}, cores per event a second", "cores")
        memory = Series(f"entry memory, {name}, per stream", "MB")
        holders = Series(f"record holders, {name}, cores per event", "cores")
        for count in STREAM_COUNTS:
            cluster = _make_cluster(entries, engines=2)
            cluster.start()
            cluster.wait_ready()
            open_streams = _read_streams(cluster.caller("e1"), count)
            time.sleep(SETTLE_TIME_S)
            usage = ProcessUsage(cluster.processes["e1"].pid)
            holder_usage = [
                ProcessUsage(cluster.processes[n].pid)
                for n in cluster.entries
                if n != "e1"
            ]
            before = sum(len(s.ids) for s in open_streams)
            time.sleep(MEASURE_TIME_S)
            rate = (
                sum(len(s.ids) for s in open_streams) - before
            ) / MEASURE_TIME_S
            cpu.add(rate, usage.cores_used())
            memory.add(count, usage.resident_mb())
            if holder_usage:
                holder_cores = sum(
                    holder.cores_used() for holder in holder_usage
                )
                holders.add(rate, holder_cores)
            cluster.close()
        measured_series += [cpu, memory] + ([holders] if holders.sizes else [])
    print(f"  raw asyncio copy: {_plain_copy_us():.1f} us an event, both ends")
    _print_first_token_times()
    return measured_series


def _print_first_token_times() -> None:
    """Print the time of a one-token answer, direct and through an entry."""
    cluster = _make_cluster(3, engines=1)
    cluster.start()
    cluster.wait_ready()
    address = cluster.standins["m1"]
    times_s: dict[str, list[float]] = {"direct": [], "through": []}
    for number in range(40):
        body = {
            "request_id": f"direct-{number}",
            "attempt": 1,
            "model": "desk",
            "prompt": "user: probe",
            "max_tokens": 1,
            "seed": 1,
        }
        for name, caller, path, value in (
            ("direct", Caller(address), "/v1/generate", body),
            (
                "through",
                cluster.caller("e1"),
                "/v1/chat/completions",
                {
                    "model": "desk",
                    "stream": True,
                    "max_tokens": 1,
                    "messages": [{"role": "user", "content": "probe"}],
                },
            ),
        ):
            started_at = time.monotonic()
            caller.request("POST", path, value)
            times_s[name].append(time.monotonic() - started_at)
    cluster.close()
    median_s = {
        name: statistics.median(times) for name, times in times_s.items()
    }
    ratio = median_s["through"] / median_s["direct"]
    print(
        f"  one-token answer: direct {median_s['direct'] * 1e3:.1f} ms, "
        f"through an entry with a record {median_s['through'] * 1e3:.1f} ms, "
        f"ratio {ratio:.2f} at a token gap of {TOKEN_GAP_MS} ms"
    )


def claims() -> list[Series]:
    """Measure a control leader and a follower under at-most-once calls."""
    leader_cpu = Series("control leader, cores per call a second", "cores")
    follower_cpu = Series("control follower, cores per call a second", "cores")
    traffic = Series("leader to a follower, bytes per call", "B/s")
    cluster = _make_cluster(2, services=2)
    cluster.start()
    cluster.wait_ready()
    leader = cluster.leader("e1")
    follower = next(name for name in cluster.controls if name != leader)
    link = cluster.control_links[leader, follower]
    for callers in CLAIM_CALLER_COUNTS:
        succeeded = [0]
        stop = threading.Event()
        threads = [
            threading.Thread(
                target=_call_until_stopped, args=(cluster, n, stop, succeeded)
            )
            for n in range(callers)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        usage = [
            ProcessUsage(cluster.processes[n].pid) for n in (leader, follower)
        ]
        before, sent = succeeded[0], link.bytes_to
        time.sleep(MEASURE_TIME_S)
        rate = (succeeded[0] - before) / MEASURE_TIME_S
        leader_cpu.add(rate, usage[0].cores_used())
        follower_cpu.add(rate, usage[1].cores_used())
        traffic.add(rate, (link.bytes_to - sent) / MEASURE_TIME_S)
        stop.set()
        for thread in threads:
            thread.join()
    resident = ProcessUsage(cluster.processes[leader].pid).resident_mb()
    print(f"  control leader memory: {resident:.0f} MB")
    cluster.close()
    return [leader_cpu, follower_cpu, traffic]


def _call_until_stopped(
    cluster: Cluster, number: int, stop, succeeded: list[int]
) -> None:
    caller = cluster.caller(f"e{number % 2 + 1}")
    while not stop.is_set():
        reply = caller.request("POST", "/svc/booking/visits", 1)
        succeeded[0] += reply.status == 200


def watchers() -> list[Series]:
    """Measure the control leader and entries without requests.

    Each entry watches the control processes.
    """
    leader_cpu = Series("control leader, cores per entry", "cores")
    entry_cpu = Series("idle entry, cores per entry", "cores")
    entry_bytes = Series("entry to control, bytes per entry", "B/s")
    change_time = Series("change in force everywhere, per entry", "s")
    for count in ENTRY_COUNTS:
        cluster = _make_cluster(count)
        cluster.start()
        cluster.wait_ready()
        time.sleep(SETTLE_TIME_S)
        leader = cluster.leader("e1")
        usage = ProcessUsage(cluster.processes[leader].pid)
        entry_usage = ProcessUsage(cluster.processes["e1"].pid)
        links = [
            link
            for (source, _), link in cluster.control_links.items()
            if source in cluster.entries
        ]
        before = sum(link.bytes_to + link.bytes_from for link in links)
        time.sleep(MEASURE_TIME_S)
        after = sum(link.bytes_to + link.bytes_from for link in links)
        leader_cpu.add(count, usage.cores_used())
        entry_cpu.add(count, entry_usage.cores_used())
        entry_bytes.add(count, (after - before) / MEASURE_TIME_S)
        change_time.add(count, _change_time_s(cluster))
        cluster.close()
    return [leader_cpu, entry_cpu, entry_bytes, change_time]


def _change_time_s(cluster: Cluster) -> float:
    """Apply a change; return the time until all entries have its version."""
    started_at = time.monotonic()
    _, reply = cluster.apply("e1", change="slope", at=cluster.version("e1"))
    while any(
        cluster.version(entry) < reply["version"] for entry in cluster.entries
    ):
        time.sleep(0.01)
    return time.monotonic() - started_at


def ledger() -> list[Series]:
    """Measure the size of ledger records in memory and in a snapshot."""
    memory = Series("ledger memory per record", "MB")
    snapshot = Series("ledger snapshot per record", "B")
    own_usage = ProcessUsage(os.getpid())
    for count in LEDGER_RECORD_COUNTS:
        measured_ledger = Ledger()
        before = own_usage.resident_mb()
        for number in range(count):
            claim = Claim(
                customer="qurum",
                key=f"visit-{number:032d}",
                digest=f"{number:064d}",
                owner="0123456789abcdef",
                attempt=f"{number:016d}",
            )
            measured_ledger.claim(claim, 0.0)
        memory.add(count, own_usage.resident_mb() - before)
        snapshot.add(
            count, len(msgspec.msgpack.encode(measured_ledger.state()))
        )
        del measured_ledger
        gc.collect()
    return [memory, snapshot]


MEASUREMENTS: dict[str, Callable[[], list[Series]]] = {
    "endpoints": endpoints,
    "streams": streams,
    "claims": claims,
    "watchers": watchers,
    "ledger": ledger,
}


def main(*names: str) -> None:
    """Run the named measurements, by default all, and print their fits."""
    fits = []
    for name in names or MEASUREMENTS:
        print(name)
        fits += [series.fit() for series in MEASUREMENTS[name]()]
    print("\nslopes")
    for fit in fits:
        print(f"  {fit}")


if __name__ == "__main__":
    fire.Fire(main)
