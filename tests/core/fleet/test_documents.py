"""Serving documents in packed form.

An operator must read back what it sent, byte by byte, and a damaged copy must
not come into force.
"""

from returns.result import Failure as Bad

from chervilshift.core.fleet import documents
from chervilshift.core.fleet.documents import pack, unpack

ROUTE = b'{"name":"r%d","host":"a.example","path_prefix":"/p%d/"},'
LARGE = b"[" + b"".join(ROUTE % (n, n) for n in range(2000)) + b"{}]"


def test_document_comes_back_as_it_was_sent():
    for document in (b'{"version": 1}', b' {"version": 1}\n', LARGE):
        assert unpack(pack(document)).unwrap() == document


def test_document_of_an_older_build_is_not_packed():
    assert unpack(b'{"version": 1}').unwrap() == b'{"version": 1}'


def test_large_document_is_much_smaller_packed():
    assert len(pack(LARGE)) < len(LARGE) / 5


def test_damaged_and_cut_off_documents_are_refused(monkeypatch):
    packed = pack(LARGE)
    assert isinstance(unpack(packed[:-10]), Bad)
    assert isinstance(unpack(packed[:50] + b"xx" + packed[52:]), Bad)
    monkeypatch.setattr(documents, "MAX_DOCUMENT_BYTES", 1000)
    assert isinstance(unpack(packed), Bad)
