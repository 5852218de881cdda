"""A duty call that is held up by a cut link arrives after its holder ended."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from support import (  # noqa: E402
    Deployment,
    Record,
    config,
    free_port,
    read_head,
    run_case,
    write_reply,
)

CUT_S = 5.5
THAW_S = 0.3
WINDOW_S = 5.0
# First retransmission of TCP on a short path; each further one doubles.
FIRST_RETRANSMISSION_S = 0.2
TERM_AFTER_CALL_S = 0.2
WATCH_S = 9.0


class Platform:
    """Takes duty calls; keeps them with the time of their arrival."""

    def __init__(self, record: Record):
        self.address = f"127.0.7.91:{free_port()}"
        self.calls: list[tuple[float, str, int, str, dict]] = []
        self._record = record

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                words, pairs = await read_head(reader)
                headers = dict(pairs)
                size = int(headers.get("content-length", "0"))
                body = json.loads(await reader.readexactly(size))
                token = int(headers["fence-token"])
                holder = headers["duty-holder"]
                now = time.monotonic()
                self.calls.append((now, words[1], token, holder, body))
                self._record.add(
                    "call", path=words[1], token=token, holder=holder
                )
                write_reply(writer, 200, [], b"{}")
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class Link:
    """One machine's path to the platform, which may be cut.

    What a machine sends into a cut is lost and sent again by TCP, also after
    its process has closed the connection; a reset drops it.
    """

    def __init__(self, target: str, record: Record):
        self.address = f"127.0.7.92:{free_port()}"
        self.held_at: float | None = None
        self._target = target
        self._record = record
        self._cut_at = float("inf")
        self.healed_at = float("-inf")

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port))

    def cut(self) -> None:
        """Cut the path for `CUT_S`."""
        self._cut_at = time.monotonic()
        self.healed_at = self._cut_at + CUT_S
        self._record.add("cut", for_s=CUT_S)

    def is_cut(self) -> bool:
        """Whether the path is cut now."""
        return self._cut_at <= time.monotonic() < self.healed_at

    async def _serve(self, reader, writer) -> None:
        if self.is_cut():
            # A connection that opens into the cut gets no answer.
            await asyncio.sleep(self.healed_at - time.monotonic())
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        answers, onward = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._carry(answers, writer))
                tasks.create_task(self._carry(reader, onward, first=True))
        finally:
            writer.transport.abort()
            onward.transport.abort()

    async def _carry(self, reader, writer, *, first: bool = False) -> None:
        try:
            while data := await reader.read(65536):
                if self.is_cut():
                    if first and self.held_at is None:
                        self.held_at = time.monotonic()
                        self._record.add("held", size=len(data))
                    await self._wait_retransmission()
                writer.write(data)
        except ConnectionResetError:
            writer.transport.abort()
            return
        except OSError:
            return
        writer.close()

    async def _wait_retransmission(self) -> None:
        sent_at = time.monotonic()
        again_s = FIRST_RETRANSMISSION_S
        while sent_at + again_s < self.healed_at:
            again_s = 2 * again_s + FIRST_RETRANSMISSION_S
        await asyncio.sleep(sent_at + again_s - time.monotonic())


async def play(record: Record, trouble: bool) -> bool:
    """Return whether the platform got a call with an older number."""
    platform = Platform(record)
    await platform.start()
    links = [Link(platform.address, record) for _ in range(3)]
    for link in links:
        await link.start()
    addresses = {n: link.address for n, link in enumerate(links)}
    deployment = Deployment(gateways=1, cloud=addresses)
    try:
        deployment.start()
        if await deployment.configure(config(1)) != 200:
            raise RuntimeError("the system did not start")
        await _wait(lambda: len(_usage(platform)) >= 3, 40.0)
        leader = deployment.leader()
        link, holder = links[leader], deployment.controls[leader]
        record.add("holder", process=holder.name)
        began_at = _usage(platform)[-1][0]
        await asyncio.sleep(began_at + WINDOW_S - 0.7 - time.monotonic())
        if trouble:
            link.cut()
            await _wait(lambda: link.held_at is not None, WINDOW_S + 1.0)
        else:
            seen = len(_usage(platform))
            await _wait(lambda: len(_usage(platform)) > seen, WINDOW_S + 1.0)
        await asyncio.sleep(TERM_AFTER_CALL_S)
        holder.signal(signal.SIGTERM)
        record.add("sigterm", process=holder.name)
        await asyncio.sleep(WATCH_S)
        return _find_older(platform, link, holder.name, record)
    finally:
        deployment.end()


def _usage(platform: Platform) -> list:
    return [call for call in platform.calls if call[1] == "/usage"]


def _find_older(platform, link, cut_holder: str, record: Record) -> bool:
    """Return whether a call that counts has a lower number than one before.

    A call does not count within `THAW_S` after its sender's link healed.
    """
    newest: dict[str, int] = {}
    broken = False
    for at, path, token, holder, _ in platform.calls:
        excused = holder == cut_holder and 0.0 <= at - link.healed_at <= THAW_S
        if token < newest.get(path, 0) and not excused:
            record.add(
                "older",
                path=path,
                token=token,
                after=newest[path],
                since_heal_s=round(at - link.healed_at, 3),
            )
            broken = True
        newest[path] = max(token, newest.get(path, 0))
    return broken


async def _wait(condition, timeout_s: float) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
