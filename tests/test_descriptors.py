"""A host without a limit of descriptors must not count as one with none.

The limit is then stated as -1, which left one connection for each listener.
"""

import resource

from chervilshift.descriptors import max_descriptors


def test_no_limit_is_a_large_one(monkeypatch):
    monkeypatch.setattr(
        resource,
        "getrlimit",
        lambda _: (resource.RLIM_INFINITY, resource.RLIM_INFINITY),
    )
    assert max_descriptors() > 1_000_000


def test_a_limit_is_returned(monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (512, 4096))
    assert max_descriptors() == 512
