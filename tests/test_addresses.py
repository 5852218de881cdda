"""Addresses that tests listen on."""

import socket

from tests import cluster


def test_port_in_use_at_another_loopback_address_is_not_free(monkeypatch):
    with socket.socket() as sock:
        sock.bind(("127.0.0.11", 0))
        sock.listen()
        used = sock.getsockname()[1]
        ports = iter(range(used, used + 100))
        monkeypatch.setattr(cluster, "PORTS", ports)
        assert cluster.free_address() != f"127.0.0.1:{used}"
