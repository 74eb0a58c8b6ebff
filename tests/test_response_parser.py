"""Splitting of messages for the parser library, and the check of chunks beside it, for every place of a cut."""

from __future__ import annotations

import httptools
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.http_grammar import MessageError
from loadbalancer.message_splitter import ChunkedBody, MessageSplitter
from loadbalancer.request_parser import RequestParser
from loadbalancer.response_parser import ResponseParser

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
CHUNKS = b"5;a=b\r\nhello\r\n3\r\n\r\n\r\r\n0;c\r\nTrailer: x\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS
ANNOUNCED = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n\r\n\r\n5;=b"
REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS
ANNOUNCED_REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n\r\n\r\n5;=b"
BODY = b"hello\r\n\r"
ANNOUNCED_BODY = b"\r\n\r\n5;=b"


class Answers:
    """Collects the bodies of answers."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.is_chunked = False
        self.parser = ResponseParser(self)

    def on_message_begin(self) -> None:
        self.bodies.append(b"")
        self.is_chunked = False

    def on_status(self, reason: bytes) -> None:
        pass

    def on_header(self, name: bytes, value: bytes) -> None:
        self.is_chunked |= name == b"Transfer-Encoding"

    def on_headers_complete(self) -> None:
        self.parser.end_head(self.is_chunked)

    def on_body(self, body: bytes) -> None:
        self.bodies[-1] += body

    def on_message_complete(self) -> None:
        pass


class Requests:
    """Collects the bodies of requests."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.framing = b""
        self.parser = RequestParser(self)

    def on_message_begin(self) -> None:
        self.bodies.append(b"")
        self.framing = b""

    def on_url(self, url: bytes) -> None:
        pass

    def on_header(self, name: bytes, value: bytes) -> None:
        if name in (b"Transfer-Encoding", b"Content-Length"):
            self.framing = b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        pass

    def framing_headers(self) -> bytes:
        return self.framing

    def on_body(self, data: bytes) -> None:
        self.bodies[-1] += data

    def on_message_complete(self) -> None:
        pass


def in_pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({0, *(cut % len(data) for cut in cuts), len(data)})
    return [data[begin:end] for begin, end in zip(places, places[1:], strict=False)]


cuts = st.lists(st.integers(0, 1000), max_size=8) | st.just(list(range(1000)))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(cuts)
def test_sound_answers_in_any_pieces_are_read(places: list[int]) -> None:
    """Guards against an end of a head that is missed where a read ends inside it."""
    answers = Answers()
    for message in (INTERIM + ANSWER, ANNOUNCED, INTERIM + ANSWER):  # a read never brings two final answers
        for piece in in_pieces(message, places):
            answers.parser.feed_data(piece)
    assert answers.bodies == [b"", b"", BODY, ANNOUNCED_BODY, b"", b"", BODY]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(cuts)
def test_sound_pipelined_requests_in_any_pieces_are_read(places: list[int]) -> None:
    """Guards against a body that is taken for a head, or a head for a body."""
    requests = Requests()
    for piece in in_pieces(REQUEST + ANNOUNCED_REQUEST + REQUEST, places):
        assert requests.parser.feed_data(piece) == b""
    assert requests.bodies == [BODY, ANNOUNCED_BODY, BODY]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(cuts)
def test_malformed_extension_is_found_in_any_pieces(places: list[int]) -> None:
    """Guards against a malformed chunk that passes where a read ends beside it."""
    answers, requests = Answers(), Requests()
    with pytest.raises(MessageError):
        for piece in in_pieces(INTERIM + ANSWER.replace(b"0;c", b"0;=c"), places):
            answers.parser.feed_data(piece)
    with pytest.raises(httptools.HttpParserError):
        for piece in in_pieces(REQUEST.replace(b"5;a=b", b"5;=b"), places):
            requests.parser.feed_data(piece)


def test_line_of_a_chunk_is_bounded() -> None:
    """Guards against a line between chunks that grows for ever."""
    chunks = ChunkedBody()
    with pytest.raises(MessageError):
        for _ in range(100):
            chunks.follow(b"5;" + b"a" * 100)


def test_head_that_has_no_empty_line_is_refused() -> None:
    """Guards against a body whose beginning is not known."""
    splitter = MessageSplitter()
    splitter.split(b"GET / HTTP/1.1\n\n")
    with pytest.raises(MessageError):
        splitter.begin_body(None)
