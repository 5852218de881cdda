"""RPC between processes: cluster keys, TLS, timeouts and failures."""

import ssl
from contextlib import suppress

import anyio
import pytest
import trustme
from returns.result import Failure as Bad
from returns.result import Success

from chervilshift.clock import SystemClock
from chervilshift.core.fleet.sync import ServingDocument
from chervilshift.errors import NotLeader, PeerUnreachable
from chervilshift.events import HybridClock
from chervilshift.settings import EntrySettings, Tls
from chervilshift.wire import rpc as wire_rpc
from chervilshift.wire.messages import Ack, ReadVersion, Version
from chervilshift.wire.rpc import Client, Credentials, RpcServer
from tests.cluster import free_address
from tests.crowd import H2_PING, H2_PREFACE

CLUSTER_KEY = "a-key-between-processes"


async def serve(message):
    """Reply after 0.2 s; fail with NotLeader for ReadVersion."""
    if isinstance(message, ReadVersion):
        raise NotLeader(leader="elsewhere")
    await anyio.sleep(0.2)
    return Version(version=7)


def call(server: Credentials, client: Credentials, message, timeout_s=5.0):
    """Call a new server once and return the result."""
    address = free_address()

    async def run():
        hlc = HybridClock(clock=SystemClock())
        rpc = RpcServer(serve=serve, hlc=hlc, credentials=server)
        host, _, port = address.rpartition(":")
        await rpc.start(host, int(port))
        caller = Client(address=address, hlc=hlc, credentials=client)
        result = await caller.call(message, timeout_s)
        caller.close()
        await rpc.close()
        return result

    return anyio.run(run)


def without_tls(key: str = CLUSTER_KEY) -> Credentials:
    return Credentials(key=key)


def test_message_without_the_key_is_not_read(monkeypatch):
    monkeypatch.setattr(wire_rpc, "MAX_MESSAGE_BYTES", 0)
    reply = call(without_tls(), without_tls("another-key"), Ack())
    assert "UNAUTHENTICATED" in str(reply.failure())


def test_first_message_may_be_large():
    """Only what comes without the key is bounded."""
    message = ServingDocument(version=1, document=b"x" * (4 << 20))
    assert not isinstance(call(without_tls(), without_tls(), message), Bad)


def test_frames_without_the_key_end_their_connection_only():
    """They took all of a control process's time: 60 us for each ping."""
    address = free_address()
    host, _, port = address.rpartition(":")

    async def flood() -> None:
        async with await anyio.connect_tcp(host, int(port)) as stream:
            with suppress(anyio.BrokenResourceError, anyio.EndOfStream):
                await stream.send(H2_PREFACE + H2_PING * 1000)
                while True:
                    await stream.receive()

    async def run():
        hlc = HybridClock(clock=SystemClock())
        rpc = RpcServer(serve=serve, hlc=hlc, credentials=without_tls())
        await rpc.start(host, int(port))
        caller = Client(address=address, hlc=hlc, credentials=without_tls())
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tg:
                tg.start_soon(flood)
                result = await caller.call(Ack(), 5.0)
        caller.close()
        await rpc.close()
        return result

    result = anyio.run(run, backend_options={"use_uvloop": True})
    assert result == Success(Version(version=7))


@pytest.mark.parametrize("limit", [5, 20])
def test_message_over_the_limit_is_not_held(monkeypatch, limit):
    monkeypatch.setattr(wire_rpc, "MAX_MESSAGE_BYTES", limit)
    reply = call(without_tls(), without_tls(), Ack())
    assert "RESOURCE_EXHAUSTED" in str(reply.failure())


def test_reply_and_typed_failure():
    assert call(without_tls(), without_tls(), Ack()).unwrap() == Version(
        version=7
    )
    failure = call(without_tls(), without_tls(), ReadVersion()).failure()
    assert isinstance(failure, NotLeader)
    assert failure.fields["leader"] == "elsewhere"


def test_reply_that_cannot_be_decoded_is_a_failed_call(monkeypatch):
    """It raised out of the tasks that send to other replicas."""
    encode = wire_rpc._Codec.encode
    monkeypatch.setattr(
        wire_rpc._Codec,
        "encode",
        lambda codec, message, kind: (
            b"\x81\xa4none\x01"
            if isinstance(message.body, Version)
            else encode(codec, message, kind)
        ),
    )
    failure = call(without_tls(), without_tls(), Ack()).failure()
    assert isinstance(failure, PeerUnreachable)


def test_wrong_key_is_refused():
    result = call(
        without_tls(), without_tls("another-key-of-some-length"), Ack()
    )
    assert isinstance(result.failure(), PeerUnreachable)


def test_deadline_is_kept():
    result = call(without_tls(), without_tls(), Ack(), timeout_s=0.05)
    assert isinstance(result.failure(), PeerUnreachable)


@pytest.fixture(scope="module")
def authority():
    return trustme.CA()


def with_tls(authority: trustme.CA, folder) -> Credentials:
    """Return credentials with TLS, built by the settings from files."""
    cert = authority.issue_cert("127.0.0.1")
    folder.mkdir()
    cert.private_key_pem.write_to_path(folder / "key.pem")
    for blob in cert.cert_chain_pems:
        blob.write_to_path(folder / "cert.pem", append=True)
    authority.cert_pem.write_to_path(folder / "ca.pem")
    settings = EntrySettings(
        process="e",
        host="h",
        failure_domain="f",
        region="r",
        rpc_listen="127.0.0.1:1",
        listen="127.0.0.1:2",
        cluster_key=CLUSTER_KEY,
        control=[],
        tls=Tls(
            certificate=folder / "cert.pem",
            key=folder / "key.pem",
            ca=folder / "ca.pem",
        ),
    )
    return settings.credentials()


def test_tls_on_both_sides(authority, tmp_path):
    server = with_tls(authority, tmp_path / "a")
    client = with_tls(authority, tmp_path / "b")
    assert call(server, client, Ack()).unwrap() == Version(version=7)


def test_tls_refuses_strangers_and_plain_callers(authority, tmp_path):
    server = with_tls(authority, tmp_path / "a")
    stranger = with_tls(trustme.CA(), tmp_path / "b")
    for client in (stranger, without_tls()):
        result = call(server, client, Ack(), timeout_s=2.0)
        assert isinstance(result, Bad)
    assert server.server_tls.verify_mode == ssl.CERT_REQUIRED
