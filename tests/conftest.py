"""Fixtures shared by the tests."""

import pytest
from hypothesis import settings

from tests.cluster import Cluster

settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=60, database=None
)
settings.load_profile("fixed")


@pytest.fixture
def cluster(tmp_path):
    """Yield an empty cluster and close it after the test."""
    made = Cluster(tmp_path / "cluster")
    yield made
    made.close()
