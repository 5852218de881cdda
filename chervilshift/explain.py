"""Reconstructs the history of one request from the processes' logs.

Reads event lines as the processes write them, from files or any stream. Text
before the JSON object of a line, such as a prefix of a log collector, is
skipped.
"""

import json
from collections.abc import Iterable, Iterator
from itertools import chain

__all__ = ["explain", "parse_lines"]

# Context events are shown from this long before the request's last event.
CONTEXT_WINDOW_S = 8.0
MAX_CONTEXT_EVENTS = 8
# Low bits of a stamp below its milliseconds; see `events.HybridClock`.
HLC_COUNTER_BITS = 16
CONTEXT_EVENTS = frozenset(
    (
        "config",
        "drained",
        "duty_lease",
        "endpoint",
        "endpoint_silent",
        "role",
        "started",
        "stopping",
        "storage_failed",
    )
)


def parse_lines(lines: Iterable[str]) -> Iterator[dict]:
    """Yield the events among `lines`; other lines are skipped."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            # A partial line of a killed process, or a line without an event.
            continue
        if isinstance(event, dict) and "hlc" in event and "event" in event:
            yield event


def explain(request_id: str, events: Iterable[dict]) -> list[str]:
    """Return the history of a request as lines of text, oldest first.

    The request's own events, marked with `*`, contain the inputs of each
    decision. Context events are what its endpoints, its processes and the
    control processes reported shortly before its last event.
    """
    ordered = sorted(events, key=lambda event: event["hlc"])
    own = [event for event in ordered if event.get("request") == request_id]
    if not own:
        return [f"no event names request {request_id}"]
    end = own[-1]["hlc"]
    since = end - (int(CONTEXT_WINDOW_S * 1000) << HLC_COUNTER_BITS)
    processes = {event["process"] for event in own}
    endpoints = set(chain.from_iterable(_endpoint_ids(event) for event in own))
    context = [
        event
        for event in ordered
        if since <= event["hlc"] <= end
        and event["event"] in CONTEXT_EVENTS
        and (
            event.get("endpoint") in endpoints
            or event["process"] in processes
            or event["event"] in ("role", "duty_lease", "storage_failed")
        )
    ]
    shown = sorted(
        chain(context[-MAX_CONTEXT_EVENTS:], own),
        key=lambda event: event["hlc"],
    )
    return list(
        chain.from_iterable(
            _format_event(event, end, request_id) for event in shown
        )
    )


def _endpoint_ids(event: dict) -> Iterator[str]:
    return (text.split()[0] for text in event.get("endpoints", ()))


def _format_event(event: dict, end: int, request_id: str) -> Iterator[str]:
    """Yield an event's line, then a line for each attempt and failure."""
    before_ms = (end - event["hlc"]) / (1 << HLC_COUNTER_BITS)
    hidden = {"hlc", "process", "event", "request", "endpoints", "failures"}
    fields = " ".join(
        f"{key}={value}"
        for key, value in event.items()
        if key not in hidden and value not in (None, "", [])
    )
    marker = "*" if event.get("request") == request_id else " "
    yield (
        f"{marker} -{before_ms / 1000:7.3f} s {event['process']} "
        f"{event['event']} {fields}"
    )
    for number, text in enumerate(event.get("endpoints", ()), 1):
        yield f"      attempt {number}: {text}"
    for text in event.get("failures", ()):
        yield f"      failed: {text}"
