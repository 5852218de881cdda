"""Replays a recorded trace through the core and checks expected outcomes.

A trace consists of JSON lines. Each has the operation (`do`), most have the
time in seconds (`at`), and some the expected outcome (`expect`).
"""

import json
from collections.abc import Callable
from pathlib import Path

import msgspec

from chervilshift.core.commands import Claim, Settle
from chervilshift.core.ledger import Ledger
from chervilshift.core.registry import Item, Registry
from chervilshift.core.stream import StreamBuffer
from chervilshift.errors import OutcomeDiffers

__all__ = ["Replay", "replay_file"]


class Replay:
    """The parts of the core that a trace operates on."""

    def __init__(self):
        self.registry = Registry(name="replay")
        self.ledger = Ledger()
        self.stream = StreamBuffer(request_id="replay")
        self._handlers: dict[str, Callable[[dict], object]] = {
            "news": self._merge_item,
            "usable": self._usable,
            "claim": self._claim,
            "settle": self._settle,
            "record": self._record,
            "expire": self._expire,
            "attempt": self._attempt,
            "tokens": self._tokens,
            "finish": self._finish,
        }

    def play(self, line: dict) -> object:
        """Perform the operation of one line and return its outcome."""
        return self._handlers[line["do"]](line)

    def _merge_item(self, line: dict) -> bool:
        item = msgspec.convert(line["item"], type=Item)
        return self.registry.merge(item, line.get("age_s", 0.0), line["at"])

    def _usable(self, line: dict) -> bool:
        return self.registry.usable(line["key"], line["at"])

    def _claim(self, line: dict) -> str:
        claim = msgspec.convert(line["claim"], type=Claim)
        reply = self.ledger.claim(claim, line["at"])
        if not hasattr(reply, "granted"):
            return "reused"
        return "granted" if reply.granted else reply.state

    def _settle(self, line: dict) -> None:
        settle = msgspec.convert(line["settle"], type=Settle)
        self.ledger.settle(settle, line["at"])

    def _record(self, line: dict) -> str:
        record = self.ledger.record(line["customer"], line["key"])
        return record.state if record else "absent"

    def _expire(self, line: dict) -> None:
        self.ledger.expire(line["at"])

    def _attempt(self, line: dict) -> int:
        return self.stream.begin_attempt()[1]

    def _tokens(self, line: dict) -> str:
        tokens = tuple(line["tokens"])
        self.stream.add(line["attempt"], line["offset"], tokens)
        return "".join(self.stream.tokens)

    def _finish(self, line: dict) -> bool:
        return self.stream.finish(line["attempt"], line["total"], "stop")


def replay_file(path: Path) -> int:
    """Replay a file and return the number of outcomes checked.

    Raises OutcomeDiffers at the first outcome that is not as expected.
    """
    replay = Replay()
    checked = 0
    with path.open(encoding="utf-8") as stream:
        for number, text in enumerate(stream, start=1):
            line = json.loads(text)
            outcome = replay.play(line)
            if "expect" not in line:
                continue
            checked += 1
            if outcome != line["expect"]:
                raise OutcomeDiffers(
                    file=path.name,
                    line=number,
                    stated=line["expect"],
                    outcome=outcome,
                )
    return checked
