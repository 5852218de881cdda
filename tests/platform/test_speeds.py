"""Which streams tell how fast an engine reads prompts.

Attempts after a failure, and streams without a prompt, would be taken for
samples of the engine's speed.
"""

import pytest

from chervilshift.core.fleet.speeds import SpeedBook
from tests.platform.standin import Platform
from tests.platform.test_deadly_requests import PROMPT
from tests.platform.test_path import run_scenario, two_workers, worker

OWN_TOKENS = 9


@pytest.fixture
def samples(monkeypatch) -> list[tuple[str, int, float]]:
    """Return the gateway's samples: service, tokens and time."""
    taken = []

    def observe(self, service, uncached_tokens, time_s, now, *, remote):
        taken.append((service, uncached_tokens, time_s))

    monkeypatch.setattr(SpeedBook, "observe", observe)
    return taken


def send(tmp_path, endpoints: list, path: str, headers: tuple) -> None:
    async def scenario(platform: Platform) -> None:
        reply = await platform.send_request(path, headers=headers)
        assert reply.status == 200

    run_scenario(tmp_path, scenario, *endpoints)


def test_stream_with_a_prompt_is_a_sample(tmp_path, samples):
    send(tmp_path, [worker("w1")], "/stream/a", PROMPT)
    ((service, tokens, time_s),) = samples
    assert (service, tokens) == ("llm", OWN_TOKENS)
    assert 0.0 < time_s < 5.0


def test_stream_without_a_prompt_is_none(tmp_path, samples):
    send(tmp_path, [worker("w1")], "/stream/a", ())
    assert samples == []


def test_second_attempt_is_none(tmp_path, samples):
    send(tmp_path, two_workers("full"), "/stream/a", PROMPT)
    assert samples == []
