"""Tells the story of one request from the processes' logs.

Reads event lines as the processes write them, from files or any stream, also
with something before the JSON on each line.
"""

import json
from collections.abc import Iterable, Iterator
from itertools import chain

__all__ = ["explain", "parse_lines"]

# What else happened is shown from this long before the request's end.
CONTEXT_S = 8.0
CONTEXT_LINES = 8
MILLISECONDS_SHIFT = 16
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
    """Yield the events among `lines`; other lines are passed over."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            # Half a line of a process that was killed, or not an event.
            continue
        if isinstance(event, dict) and "hlc" in event and "event" in event:
            yield event


def explain(request_id: str, events: Iterable[dict]) -> list[str]:
    """Return the story of a request, oldest line first.

    Own lines carry the inputs of each decision; context is what its
    endpoints, its gateway and control reported shortly before.
    """
    known = sorted(events, key=lambda event: event["hlc"])
    own = [event for event in known if event.get("request") == request_id]
    if not own:
        return [f"no event names request {request_id}"]
    end = own[-1]["hlc"]
    since = end - (int(CONTEXT_S * 1000) << MILLISECONDS_SHIFT)
    places = {event["process"] for event in own}
    endpoints = set(chain.from_iterable(_endpoint_ids(event) for event in own))
    context = [
        event
        for event in known
        if since <= event["hlc"] <= end
        and event["event"] in CONTEXT_EVENTS
        and (
            event.get("endpoint") in endpoints
            or event["process"] in places
            or event["event"] in ("role", "duty_lease", "storage_failed")
        )
    ]
    shown = sorted(
        chain(context[-CONTEXT_LINES:], own), key=lambda event: event["hlc"]
    )
    return list(
        chain.from_iterable(_told(event, end, request_id) for event in shown)
    )


def _endpoint_ids(event: dict) -> Iterator[str]:
    return (text.split()[0] for text in event.get("endpoints", ()))


def _told(event: dict, end: int, request_id: str) -> Iterator[str]:
    """Yield an event's line, and one a list entry for its attempts."""
    before_ms = (end - event["hlc"]) / (1 << MILLISECONDS_SHIFT)
    hidden = {"hlc", "process", "event", "request", "endpoints", "failures"}
    fields = " ".join(
        f"{key}={value}"
        for key, value in event.items()
        if key not in hidden and value not in (None, "", [])
    )
    mark = "*" if event.get("request") == request_id else " "
    yield (
        f"{mark} -{before_ms / 1000:7.3f} s {event['process']} "
        f"{event['event']} {fields}"
    )
    for number, text in enumerate(event.get("endpoints", ()), 1):
        yield f"      attempt {number}: {text}"
    for text in event.get("failures", ()):
        yield f"      failed: {text}"
