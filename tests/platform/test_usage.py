"""Usage counts what began to run, whatever became of the answer.

Requests whose answer was broken off, spoiled or not waited for were missing
in the reports.
"""

import anyio
import pytest

from tests.platform.standin import Platform, eventually
from tests.platform.test_path import run_scenario, worker


def counted(platform: Platform) -> int:
    """Return how many requests the gateway has counted."""
    windows = platform.gateways[0][0].state.usage.counts().values()
    return sum(sum(window.values()) for window in windows)


def count_after(tmp_path, path: str, *behaviours: str) -> int:
    """Return what is counted after one request and its attempts."""
    counts = []

    async def scenario(platform: Platform) -> None:
        await platform.send_request(path, deadline_ms=400)
        counts.append(counted(platform))

    service = "app" if path.startswith("/write") else "llm"
    run_scenario(tmp_path, scenario, worker("w1", service, *behaviours))
    return counts[0]


@pytest.mark.parametrize("behaviour", ["error", "unsigned", "other", "hang"])
def test_request_whose_answer_is_no_good_is_counted(tmp_path, behaviour):
    assert count_after(tmp_path, "/write/a", behaviour) == 1


@pytest.mark.parametrize("behaviour", ["error", "unsigned", "cut"])
def test_stream_whose_answer_is_no_good_is_counted(tmp_path, behaviour):
    assert count_after(tmp_path, "/once/a", behaviour) == 1


@pytest.mark.parametrize("behaviour", ["full", "hang", "other"])
def test_stream_that_has_not_begun_is_not_counted(tmp_path, behaviour):
    assert count_after(tmp_path, "/once/a", behaviour) == 0


def test_stream_that_is_refused_after_a_foreign_answer_is_not_counted(
    tmp_path,
):
    assert count_after(tmp_path, "/stream/a", "other", "full", "full") == 0


def test_refused_request_is_not_counted(tmp_path):
    assert count_after(tmp_path, "/write/a", "full") == 0


def test_request_is_counted_once_over_all_its_attempts(tmp_path):
    assert count_after(tmp_path, "/stream/a", "cut") == 1


def test_request_whose_caller_leaves_is_counted(tmp_path):
    async def scenario(platform: Platform) -> None:
        with anyio.move_on_after(0.3):
            await platform.send_request("/write/a")
        await eventually(lambda: counted(platform) == 1)

    run_scenario(tmp_path, scenario, worker("w1", "app", "hang"))
