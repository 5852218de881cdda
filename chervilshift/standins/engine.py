"""A stand-in model engine: deterministic text at a configured speed."""

import hashlib
from collections.abc import AsyncIterator

import anyio
import msgspec
from anyio.abc import TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from chervilshift.core.jobs import CHARS_PER_TOKEN
from chervilshift.endpoints.engine import Event, Generate, Resume

__all__ = ["Behaviour", "EngineStandin", "expected_text", "token"]

WORDS = (
    "shred", "van", "gate", "pod", "linen", "route", "clean", "seal",
    "desk", "clinic", "ministry", "station", "night", "crew", "log", "key",
)  # fmt: skip
# Generations kept for resumption; the oldest are dropped beyond this.
MAX_GENERATIONS = 2000


class Behaviour(msgspec.Struct, kw_only=True):
    """Behaviour of the stand-in; tests change it while it runs.

    `gap_ms` is the time between tokens, `prefill_us_per_token` the time for
    each prompt or resumed token before the first one, and `capacity` the
    number of generations that run at once. `answer_tokens` is the length of
    every answer; 0 derives it from the prompt. `silent` stops all output but
    keeps connections open. `end_early` ends streams without the end marker
    after that many tokens; 0 never does. `refuse` answers 503 without running
    anything. `unseeded` makes the text differ between runs with the same
    seed. With `checks_fencing`, orders with an outdated fencing token are
    refused. `load_ms` is the time to load adapters.
    """

    gap_ms: float = 5.0
    prefill_us_per_token: float = 20.0
    answer_tokens: int = 0
    capacity: int = 16
    silent: bool = False
    end_early: int = 0
    refuse: bool = False
    unseeded: bool = False
    checks_fencing: bool = True
    load_ms: float = 50.0


class _Generation:
    """One running request; it continues if its connection is lost."""

    def __init__(self, *, request: Generate, total: int):
        self.request = request
        self.total = total
        self.tokens = list(request.resume_tokens)
        self.changed = anyio.Event()
        self.scope = anyio.CancelScope()

    @property
    def done(self) -> bool:
        return len(self.tokens) >= self.total

    def notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


class EngineStandin:
    """Serves the engine protocol of docs/PROTOCOLS.md."""

    def __init__(self, *, behaviour: Behaviour):
        self.behaviour = behaviour
        self.executions: dict[str, int] = {}
        self.prefilled_tokens = 0
        self.running = 0
        self.leaving = False
        self.adapters: tuple[str, ...] = ()
        self.orders: list[dict] = []
        self._fencing_token = 0
        self._generations: dict[str, _Generation] = {}
        self._limiter = anyio.Semaphore(behaviour.capacity)
        self._task_group: TaskGroup | None = None

    def attach(self, tasks: TaskGroup) -> None:
        """Set the task group that generations run in."""
        self._task_group = tasks

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/generate", self._generate, methods=["POST"]),
                Route("/v1/resume", self._resume, methods=["POST"]),
                Route("/v1/cancel", self._cancel, methods=["POST"]),
                Route("/v1/orders", self._order, methods=["POST"]),
                Route(
                    "/standin", self._test_interface, methods=["GET", "POST"]
                ),
            ]
        )

    def load(self) -> dict:
        """Return the load fields of an announcement."""
        running = min(self.running, self.behaviour.capacity)
        return {
            "running": running,
            "waiting": self.running - running,
            "adapters": self.adapters,
            "checks_fencing": self.behaviour.checks_fencing,
        }

    async def _generate(self, request: Request) -> Response:
        if self.behaviour.refuse or self.leaving:
            return Response(status_code=503, headers={"x-not-run": "true"})
        body = msgspec.json.decode(await request.body(), type=Generate)
        total = self.behaviour.answer_tokens or answer_size(body.prompt)
        generation = _Generation(
            request=body, total=min(total, body.max_tokens)
        )
        name = body.request_id
        self.executions[name] = self.executions.get(name, 0) + 1
        self._generations.pop(name, None)
        self._generations[name] = generation
        if len(self._generations) > MAX_GENERATIONS:
            del self._generations[next(iter(self._generations))]
        self._task_group.start_soon(self._run, generation)
        return self._stream(generation, len(body.resume_tokens))

    async def _resume(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=Resume)
        generation = self._generations.get(body.request_id)
        if generation is None or generation.request.attempt != body.attempt:
            return Response(status_code=404, headers={"x-not-run": "true"})
        return self._stream(generation, body.offset)

    async def _cancel(self, request: Request) -> Response:
        body = await request.json()
        generation = self._generations.get(body.get("request_id"))
        known = (
            generation is not None
            and generation.request.attempt == body.get("attempt")
        )
        if known:
            generation.scope.cancel()
        return JSONResponse({"cancelled": known})

    async def _order(self, request: Request) -> Response:
        """Load adapters; `checks_fencing` refuses outdated fencing tokens."""
        order = await request.json()
        outdated = order["token"] < self._fencing_token
        taken = not (outdated and self.behaviour.checks_fencing)
        self.orders.append({**order, "taken": taken})
        if not taken:
            return Response(status_code=409)
        self._fencing_token = max(self._fencing_token, order["token"])
        await anyio.sleep(self.behaviour.load_ms / 1e3)
        self.adapters = tuple(order["adapters"])
        return Response()

    async def _test_interface(self, request: Request) -> Response:
        if request.method == "POST":
            fields = msgspec.to_builtins(self.behaviour)
            fields.update(await request.json())
            self.behaviour = msgspec.convert(fields, type=Behaviour)
        return JSONResponse(
            {
                "executions": self.executions,
                "running": self.running,
                "prefilled_tokens": self.prefilled_tokens,
                "adapters": self.adapters,
                "orders": self.orders,
            }
        )

    async def _run(self, generation: _Generation) -> None:
        self.running += 1
        try:
            with generation.scope:
                async with self._limiter:
                    await self._prefill(generation)
                    while not generation.done:
                        await anyio.sleep(self.behaviour.gap_ms / 1e3)
                        self._append_token(generation)
        finally:
            self.running -= 1

    async def _prefill(self, generation: _Generation) -> None:
        request = generation.request
        tokens = len(request.prompt) // CHARS_PER_TOKEN
        tokens += len(request.resume_tokens)
        self.prefilled_tokens += tokens
        per_token_s = self.behaviour.prefill_us_per_token / 1e6
        await anyio.sleep(tokens * per_token_s)

    def _append_token(self, generation: _Generation) -> None:
        request = generation.request
        seed = request.seed
        if self.behaviour.unseeded:
            seed = hash((id(generation), seed))
        index = len(generation.tokens)
        generation.tokens.append(token(request.prompt, seed, index))
        generation.notify()

    def _stream(self, generation: _Generation, offset: int) -> Response:
        return StreamingResponse(
            self._events(generation, offset), media_type="text/event-stream"
        )

    async def _events(
        self, generation: _Generation, offset: int
    ) -> AsyncIterator[bytes]:
        while True:
            while self.behaviour.silent:
                await anyio.sleep(0.05)
            early = self.behaviour.end_early
            if early and offset >= early:
                return
            tokens = tuple(generation.tokens[offset:])
            if tokens:
                yield _encode(Event(offset=offset, tokens=tokens))
                offset += len(tokens)
            elif generation.done:
                yield _encode(Event(offset=offset, finish_reason="stop"))
                yield b"data: [DONE]\n\n"
                return
            else:
                await generation.changed.wait()


def _encode(event: Event) -> bytes:
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def token(prompt: str, seed: int, index: int) -> str:
    """Return the token at `index` of the answer to a prompt."""
    named = f"{seed}/{index}/{prompt}".encode()
    digest = hashlib.blake2b(named, digest_size=2).digest()
    return f"{WORDS[digest[0] % len(WORDS)]}{digest[1]} "


def answer_size(prompt: str) -> int:
    """Return the number of tokens in the answer to a prompt: 16 to 47."""
    digest = hashlib.blake2b(prompt.encode(), digest_size=1).digest()
    return 16 + digest[0] % 32


def expected_text(prompt: str, seed: int, tokens: int) -> str:
    """Return the first `tokens` tokens of the answer to a prompt."""
    return "".join(token(prompt, seed, index) for index in range(tokens))
