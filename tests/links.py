"""A TCP forwarder whose links can refuse, drop or delay traffic."""

import asyncio
import threading

__all__ = ["Link", "Links"]

CHUNK_BYTES = 65536


class _Pipe:
    """One direction of one forwarded connection."""

    def __init__(self, link, reader, writer, *, forward: bool):
        self.link = link
        self.reader = reader
        self.writer = writer
        self.forward = forward
        self.drop_all = False

    def drops_data(self) -> bool:
        if self.drop_all:
            return True
        link = self.link
        return link.hole_to if self.forward else link.hole_from

    async def run(self) -> None:
        try:
            while data := await self.reader.read(CHUNK_BYTES):
                if self.link.delay_s:
                    await asyncio.sleep(self.link.delay_s)
                self.link.count(len(data), forward=self.forward)
                if not self.drops_data():
                    self.writer.write(data)
                    await self.writer.drain()
        except OSError:
            pass
        finally:
            if not self.drops_data():
                self.writer.close()


class Link:
    """Forwards one port to one target; the flags may change at any time.

    `hole_to` drops data to the target and `hole_from` data from it, while
    connections stay open (a black hole). `cut` closes new connections at
    once. `delay_s` delays each chunk that is read. `bytes_to` and
    `bytes_from` count received data, also if dropped.
    """

    def __init__(self, links: "Links", target: str):
        self.target = target
        self.address = ""
        self.hole_to = False
        self.hole_from = False
        self.cut = False
        self.delay_s = 0.0
        self.bytes_to = 0
        self.bytes_from = 0
        self._links = links
        self._pipes: list[_Pipe] = []

    def count(self, size: int, *, forward: bool) -> None:
        if forward:
            self.bytes_to += size
        else:
            self.bytes_from += size

    def black_hole(self) -> None:
        self.hole_to = self.hole_from = True

    def heal(self) -> None:
        self.hole_to = self.hole_from = self.cut = False
        self.delay_s = 0.0

    def silence_connections(self) -> None:
        """Drop all data of the open connections from now on, despite `heal`.

        New connections work.
        """
        for pipe in self._pipes:
            pipe.drop_all = True

    def close_connections(self) -> None:
        """Close all open connections."""
        self._links.call_in_loop(self._close_all)

    def _close_all(self) -> None:
        for pipe in self._pipes:
            pipe.writer.close()
        self._pipes = []

    async def serve(self, reader, writer) -> None:
        if self.cut:
            writer.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        pipes = [
            _Pipe(self, reader, target_writer, forward=True),
            _Pipe(self, target_reader, writer, forward=False),
        ]
        self._pipes += pipes
        await asyncio.gather(*(pipe.run() for pipe in pipes))
        self._pipes = [p for p in self._pipes if p not in pipes]


class Links:
    """All links of a test, served by one thread."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        ended = asyncio.gather(*tasks, return_exceptions=True)
        self._loop.run_until_complete(ended)
        self._loop.close()

    def add(self, target: str) -> Link:
        link = Link(self, target)

        async def start() -> None:
            server = await asyncio.start_server(link.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            link.address = f"127.0.0.1:{port}"

        asyncio.run_coroutine_threadsafe(start(), self._loop).result(10)
        return link

    def call_in_loop(self, function) -> None:
        self._loop.call_soon_threadsafe(function)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
