"""The promises, checked on a run's history.

None of them depends on how fast the machine is.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

from tests.soak.history import Answer, History

__all__ = ["broken"]

EVENT_IDS = [b"1", b"2", b"3", b"4", b"5"]
# These say that the request has not run and never will.
NOT_RUN = {408, 421, 429, 503}
# How often a route lets a request run; all others as `/read/`.
ATTEMPTS = {"/stream/": 3, "/write/": 1, "/once/": 1}
READ_ATTEMPTS = 3


def broken(history: History) -> list[str]:
    """Return a line for each promise that was broken."""
    checks = (_answers, _runs, _plan, _reads, _routes, _duties)
    return [line for check in checks for line in check(history)]


def _answers(history: History) -> Iterator[str]:
    """Find successes that are not the request's own, signed and whole."""
    for answer in history.answers:
        if answer.status != 200 or not answer.whole:
            continue
        name = f"{answer.request_id} at {answer.gateway}"
        if answer.headers.get("server-stamp") != b"stamp":
            yield f"success without an endpoint's signature: {name}"
        if answer.headers.get("request-id") != answer.request_id.encode():
            yield f"success of another request: {name}"
        if _ids(answer) != EVENT_IDS:
            yield f"whole answer with events {_ids(answer)}: {name}"


def _runs(history: History) -> Iterator[str]:
    """Find requests that ran too often, or though they were refused."""
    runs = history.runs()
    asked = {answer.request_id: answer for answer in history.answers}
    for request_id, count in runs.items():
        if request_id not in asked:
            yield f"a request ran that no client sent: {request_id}"
            continue
        answer = asked[request_id]
        if count > ATTEMPTS.get(answer.path, READ_ATTEMPTS):
            yield f"{answer.path} ran {count} times: {request_id}"
        own = "server-stamp" not in answer.headers
        if own and answer.status in NOT_RUN:
            yield f"{answer.status}, but it ran: {request_id}"


def _plan(history: History) -> Iterator[str]:
    """Find requests that a planned stop left without an answer."""
    for answer in history.answers:
        if answer.owed and answer.status is None:
            yield f"no answer from {answer.gateway}: {answer.request_id}"


def _reads(history: History) -> Iterator[str]:
    """Find reads older than what was acknowledged before they began."""
    for read in history.reads:
        if read.version < read.acked:
            yield (
                f"{read.control} read back {read.version}, "
                f"{read.acked} was acknowledged"
            )


def _routes(history: History) -> Iterator[str]:
    """Find gateways whose configuration went back."""
    for (gateway, _), version in history.denied.items():
        yield f"{gateway} went back behind version {version}"


def _duties(history: History) -> Iterator[str]:
    """Find shared or falling tokens, and windows reported twice."""
    newest: Counter[str] = Counter()
    holders: defaultdict[int, set[str]] = defaultdict(set)
    windows: dict[int, dict] = {}
    for path, token, holder, body in history.cloud_calls:
        holders[token].add(holder)
        if token < newest[path]:
            yield f"{path} with token {token} after {newest[path]}"
        newest[path] = max(newest[path], token)
        if path == "/usage":
            counts = windows.setdefault(body["window"], body["counts"])
            if counts != body["counts"]:
                yield f"two reports for window {body['window']}"
    for token, names in holders.items():
        if len(names) > 1:
            yield f"token {token} was used by {sorted(names)}"


def _ids(answer: Answer) -> list[bytes]:
    lines = answer.body.splitlines()
    return [line[4:] for line in lines if line.startswith(b"id: ")]
