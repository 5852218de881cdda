"""Measures what grows with the size, for docs/CAPACITY.md.

Real processes and sockets on loopback. Processor time is each process's own
account, memory its resident size, bytes are counted by a forwarder between
the processes. Prints one line a point, then the fitted slopes.
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

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SETTLE_S = 3.0
MEASURE_S = 5.0
ENDPOINTS = (10, 30, 100, 300)
STREAMS = (10, 30, 60)
CLAIM_CALLERS = (1, 2, 4, 8)
WATCHERS = (1, 2, 4, 8)
LEDGER_RECORDS = (20_000, 50_000, 100_000, 200_000)
GAP_MS = 20


class Usage:
    """A process's own account of its use, between two looks."""

    def __init__(self, pid: int):
        self._pid = pid
        self._cpu_s, self._at = self._cpu(), time.monotonic()

    def _cpu(self) -> float:
        fields = Path(f"/proc/{self._pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / TICKS

    def cpu_share(self) -> float:
        """Return the cores used since the first look."""
        return (self._cpu() - self._cpu_s) / (time.monotonic() - self._at)

    def resident_mb(self) -> float:
        """Return the resident size in megabytes."""
        pages = Path(f"/proc/{self._pid}/statm").read_text().split()[1]
        return int(pages) * PAGE_BYTES / 1e6


class Points:
    """Measured points of one line, and the fit through them."""

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
        """Return slope, base and the root mean square of the residuals."""
        slope, base = statistics.linear_regression(self.sizes, self.values)
        squares = [
            (value - base - slope * size) ** 2
            for size, value in zip(self.sizes, self.values, strict=True)
        ]
        error = statistics.fmean(squares) ** 0.5
        return (
            f"{self.name}: {slope:.4g} {self.unit} each, base {base:.4g}, "
            f"residual {error:.2g}"
        )


def _cluster(entries: int, engines: int = 0, services: int = 0) -> Cluster:
    cluster = Cluster(Path(tempfile.mkdtemp()))
    cluster.add_controls()
    for number in range(entries):
        cluster.add_entry(f"e{number + 1}", number % 3)
    for number in range(engines):
        cluster.add_standin(
            f"m{number + 1}", number=number, gap_ms=GAP_MS,
            answer_tokens=100_000, capacity=64,
        )  # fmt: skip
    for number in range(services):
        cluster.add_standin(f"s{number + 1}", kind="service", delay_ms=0)
    return cluster


class Announcers(threading.Thread):
    """Announces many endpoints once a second over kept connections."""

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
                began = time.monotonic()
                seq += 1
                for number in range(self.count):
                    body = json.dumps(self._body(number, seq)).encode()
                    pool.request("POST", url, headers=headers, content=body)
                left_s = 1.0 - (time.monotonic() - began)
                self.stop.wait(max(0.0, left_s))

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


def endpoints() -> list[Points]:
    """Measure an entry that hears endpoints, and one that pulls from it."""
    cpu = Points("announced-to entry, cores per endpoint", "cores")
    pull = Points("pulling entry, cores per endpoint", "cores")
    memory = Points("entry memory per endpoint", "MB")
    traffic = Points("pulled bytes per endpoint", "B/s")
    for count in ENDPOINTS:
        cluster = _cluster(2)
        # e2 pulls from e1 through a link that counts.
        link = cluster.links.add(cluster.settings["e1"]["rpc_listen"])
        cluster.settings["e1"]["rpc_address"] = link.address
        cluster.settings["e2"]["peers"] = [link.address]
        for name in ("e1", "e2"):
            cluster.write(name)
        cluster.start()
        cluster.wait_ready()
        announcers = Announcers(cluster.entries["e1"], count)
        announcers.start()
        time.sleep(SETTLE_S)
        usage = {n: Usage(cluster.processes[n].pid) for n in ("e1", "e2")}
        before = link.bytes_from
        time.sleep(MEASURE_S)
        cpu.add(count, usage["e1"].cpu_share())
        pull.add(count, usage["e2"].cpu_share())
        memory.add(count, usage["e2"].resident_mb())
        traffic.add(count, (link.bytes_from - before) / MEASURE_S)
        announcers.stop.set()
        announcers.join()
        cluster.close()
    return [cpu, pull, memory, traffic]


def _read_streams(caller: Caller, count: int) -> list:
    streams = [
        caller.chat(f"stream {n}", max_tokens=2000) for n in range(count)
    ]
    threads = [
        threading.Thread(target=stream.read, daemon=True) for stream in streams
    ]
    for thread in threads:
        thread.start()
    return streams


def _raw_copy_us() -> float:
    """Return processor time per event of a bare asyncio copy."""
    events, size = 20_000, 180

    async def copy() -> float:
        async def feed(reader, writer) -> None:
            for _ in range(events):
                writer.write(b"x" * size)
                await writer.drain()
                await asyncio.sleep(0)
            writer.close()

        server = await asyncio.start_server(feed, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        began = time.process_time()
        for _ in range(events):
            await reader.readexactly(size)
        taken_s = time.process_time() - began
        writer.close()
        server.close()
        return taken_s

    return asyncio.run(copy()) / events * 1e6


def streams() -> list[Points]:
    """Measure an entry that relays streams, recorded and not."""
    made = []
    for entries, name in ((1, "unrecorded"), (3, "recorded")):
        cpu = Points(f"entry, {name}, cores per event a second", "cores")
        memory = Points(f"entry memory, {name}, per stream", "MB")
        holder = Points(f"record holders, {name}, cores per event", "cores")
        for count in STREAMS:
            cluster = _cluster(entries, engines=2)
            cluster.start()
            cluster.wait_ready()
            running = _read_streams(cluster.caller("e1"), count)
            time.sleep(SETTLE_S)
            usage = Usage(cluster.processes["e1"].pid)
            others = [
                Usage(cluster.processes[n].pid)
                for n in cluster.entries
                if n != "e1"
            ]
            before = sum(len(s.ids) for s in running)
            time.sleep(MEASURE_S)
            rate = (sum(len(s.ids) for s in running) - before) / MEASURE_S
            cpu.add(rate, usage.cpu_share())
            memory.add(count, usage.resident_mb())
            if others:
                shares = sum(other.cpu_share() for other in others)
                holder.add(rate, shares)
            cluster.close()
        made += [cpu, memory] + ([holder] if holder.sizes else [])
    print(f"  raw asyncio copy: {_raw_copy_us():.1f} us an event, both ends")
    _first_token()
    return made


def _first_token() -> None:
    """Print the time to the first token through an entry and directly."""
    cluster = _cluster(3, engines=1)
    cluster.start()
    cluster.wait_ready()
    address = cluster.standins["m1"]
    taken: dict[str, list[float]] = {"direct": [], "through": []}
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
            began = time.monotonic()
            caller.request("POST", path, value)
            taken[name].append(time.monotonic() - began)
    cluster.close()
    middle = {name: statistics.median(times) for name, times in taken.items()}
    ratio = middle["through"] / middle["direct"]
    print(
        f"  one-token answer: direct {middle['direct'] * 1e3:.1f} ms, "
        f"through an entry with a record {middle['through'] * 1e3:.1f} ms, "
        f"ratio {ratio:.2f} at a token gap of {GAP_MS} ms"
    )


def claims() -> list[Points]:
    """Measure the control leader under at-most-once calls."""
    leader_cpu = Points("control leader, cores per call a second", "cores")
    follower = Points("control follower, cores per call a second", "cores")
    traffic = Points("leader to a follower, bytes per call", "B/s")
    cluster = _cluster(2, services=2)
    cluster.start()
    cluster.wait_ready()
    leader = cluster.leader("e1")
    other = next(name for name in cluster.controls if name != leader)
    link = cluster.control_links[leader, other]
    for callers in CLAIM_CALLERS:
        done = [0]
        stop = threading.Event()
        threads = [
            threading.Thread(target=_call, args=(cluster, n, stop, done))
            for n in range(callers)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        usage = [Usage(cluster.processes[n].pid) for n in (leader, other)]
        before, sent = done[0], link.bytes_to
        time.sleep(MEASURE_S)
        rate = (done[0] - before) / MEASURE_S
        leader_cpu.add(rate, usage[0].cpu_share())
        follower.add(rate, usage[1].cpu_share())
        traffic.add(rate, (link.bytes_to - sent) / MEASURE_S)
        stop.set()
        for thread in threads:
            thread.join()
    resident = Usage(cluster.processes[leader].pid).resident_mb()
    print(f"  control leader memory: {resident:.0f} MB")
    cluster.close()
    return [leader_cpu, follower, traffic]


def _call(cluster: Cluster, number: int, stop, done: list[int]) -> None:
    caller = cluster.caller(f"e{number % 2 + 1}")
    while not stop.is_set():
        reply = caller.request("POST", "/svc/booking/visits", 1)
        done[0] += reply.status == 200


def watchers() -> list[Points]:
    """Measure idle control processes with entries that watch them."""
    leader_cpu = Points("control leader, cores per entry", "cores")
    entry_cpu = Points("idle entry, cores per entry", "cores")
    entry_bytes = Points("entry to control, bytes per entry", "B/s")
    in_force = Points("change in force everywhere, per entry", "s")
    for count in WATCHERS:
        cluster = _cluster(count)
        cluster.start()
        cluster.wait_ready()
        time.sleep(SETTLE_S)
        leader = cluster.leader("e1")
        usage = Usage(cluster.processes[leader].pid)
        own = Usage(cluster.processes["e1"].pid)
        links = [
            link
            for (source, _), link in cluster.control_links.items()
            if source in cluster.entries
        ]
        before = sum(link.bytes_to + link.bytes_from for link in links)
        time.sleep(MEASURE_S)
        after = sum(link.bytes_to + link.bytes_from for link in links)
        leader_cpu.add(count, usage.cpu_share())
        entry_cpu.add(count, own.cpu_share())
        entry_bytes.add(count, (after - before) / MEASURE_S)
        in_force.add(count, _change_s(cluster))
        cluster.close()
    return [leader_cpu, entry_cpu, entry_bytes, in_force]


def _change_s(cluster: Cluster) -> float:
    began = time.monotonic()
    _, reply = cluster.apply("e1", change="slope", at=cluster.version("e1"))
    while any(
        cluster.version(entry) < reply["version"] for entry in cluster.entries
    ):
        time.sleep(0.01)
    return time.monotonic() - began


def ledger() -> list[Points]:
    """Measure what the ledger's records take, here and in a snapshot."""
    memory = Points("ledger memory per record", "MB")
    snapshot = Points("ledger snapshot per record", "B")
    own = Usage(os.getpid())
    for count in LEDGER_RECORDS:
        held = Ledger()
        before = own.resident_mb()
        for number in range(count):
            claim = Claim(
                customer="qurum",
                key=f"visit-{number:032d}",
                digest=f"{number:064d}",
                owner="0123456789abcdef",
                attempt=f"{number:016d}",
            )
            held.claim(claim, 0.0)
        memory.add(count, own.resident_mb() - before)
        snapshot.add(count, len(msgspec.msgpack.encode(held.state())))
        del held
        gc.collect()
    return [memory, snapshot]


LINES: dict[str, Callable[[], list[Points]]] = {
    "endpoints": endpoints,
    "streams": streams,
    "claims": claims,
    "watchers": watchers,
    "ledger": ledger,
}


def main(*names: str) -> None:
    """Measure the named lines, by default all, and print their fits."""
    fits = []
    for name in names or LINES:
        print(name)
        fits += [points.fit() for points in LINES[name]()]
    print("\nslopes")
    for fit in fits:
        print(f"  {fit}")


if __name__ == "__main__":
    fire.Fire(main)
