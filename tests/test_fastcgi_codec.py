"""Tables and properties of FastCGI records, both sides of a connection, and CGI; without sockets."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.fastcgi import application as app
from loadbalancer.fastcgi.application import (
    Aborted,
    ApplicationSide,
    BodyData,
    BodyReceived,
    ParamsReceived,
    Refused,
)
from loadbalancer.fastcgi.cgi import (
    CgiError,
    find_end,
    fixed_params,
    from_params,
    read_head,
    to_params,
    write_answer,
)  # fmt: skip
from loadbalancer.fastcgi.records import (
    MAX_BUFFERED_BYTES,
    MAX_CONTENT_BYTES,
    Decoder,
    ProtocolError,
    Record,
    Role,
    Status,
    Type,
    encode,
    encode_begin,
    encode_end,
    encode_pairs,
    encode_stream,
    read_begin,
    read_end,
    read_pairs,
)  # fmt: skip
from loadbalancer.fastcgi.webserver import MAX_STDERR_BYTES, End, WebServerSide, encode_request

property_test = settings(derandomize=True, max_examples=300, deadline=None)
PARAMS = [
    (b"REQUEST_METHOD", b"POST"),
    (b"REQUEST_URI", b"/a?b"),
    (b"CONTENT_LENGTH", b"4"),
    (b"HTTP_HOST", b"h"),
]


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


# Records.


@property_test
@given(
    st.lists(st.tuples(st.integers(0, 255), st.integers(0, 65535), st.binary(max_size=300)), max_size=8),
    st.lists(st.integers(0, 5000), max_size=12),
)
def test_records_are_decoded_from_any_chunks(records: list[tuple[int, int, bytes]], cuts: list[int]) -> None:
    data = b"".join(encode(*record) for record in records)
    decoder = Decoder()
    got = [record for part in split_at(data, cuts) for record in decoder.feed(part)]
    assert got == [Record(*record) for record in records] and decoder.held == 0
    assert len(data) % 8 == 0


@property_test
@given(st.lists(st.binary(max_size=200), max_size=30))
def test_any_bytes_are_records_or_an_error_within_the_buffer_limit(parts: list[bytes]) -> None:
    decoder = Decoder()
    try:
        for part in parts:
            list(decoder.feed(b"\x01" + part))
            assert decoder.held <= MAX_BUFFERED_BYTES
    except ProtocolError:
        pass


@property_test
@given(st.lists(st.tuples(st.binary(max_size=300), st.binary(max_size=300)), max_size=20))
def test_pairs_of_short_and_long_lengths_are_decoded(pairs: list[tuple[bytes, bytes]]) -> None:
    assert read_pairs(encode_pairs(pairs), 20) == pairs


def test_truncated_pairs_are_an_error_or_fewer_pairs() -> None:
    whole = encode_pairs([(b"a", b"b" * 200), (b"c" * 130, b"")])
    ends = {len(encode_pairs([(b"a", b"b" * 200)])): 1, 0: 0}
    for end in range(len(whole)):
        if end in ends:
            assert len(read_pairs(whole[:end], 9)) == ends[end]
        else:
            with pytest.raises(ProtocolError):
                read_pairs(whole[:end], 9)


def test_pairs_with_a_huge_length_or_above_the_limit_are_an_error() -> None:
    with pytest.raises(ProtocolError, match="within a pair"):
        read_pairs(b"\xff\xff\xff\xff\x01", 9)
    with pytest.raises(ProtocolError, match="more than 3"):
        read_pairs(encode_pairs([(b"a", b"b")] * 4), 3)


def test_long_streams_are_split_into_records() -> None:
    data = bytes(3 * MAX_CONTENT_BYTES)
    records = list(Decoder().feed(encode_stream(Type.STDIN, 1, data)))
    assert b"".join(r.content for r in records) == data and len(records) == 4
    assert encode_stream(Type.STDIN, 1, b"") == b""
    with pytest.raises(ValueError, match="65536"):
        encode(Type.STDIN, 1, bytes(65536))


def test_begin_and_end_records_are_decoded() -> None:
    (begin, end) = Decoder().feed(encode_begin(7, True) + encode_end(7, Status.OVERLOADED, 0xFFFFFFFF))
    assert read_begin(begin.content) == (Role.RESPONDER, True)
    assert read_end(end.content) == (0xFFFFFFFF, Status.OVERLOADED)
    for read in (read_begin, read_end):
        with pytest.raises(ProtocolError):
            read(b"short")


# The application's side.


def complete_request(number: int = 1, keep: bool = True, body: bytes = b"body") -> bytes:
    return encode_request(number, PARAMS, body, keep)[0]


def events(side: ApplicationSide, data: bytes) -> list[app.Event]:
    return list(side.feed(data))


def test_request_split_at_any_byte_gives_the_same_events() -> None:
    data = complete_request()
    for cut in range(len(data) + 1):
        side = ApplicationSide(1)
        got = events(side, data[:cut]) + events(side, data[cut:])
        assert got == [ParamsReceived(1, dict(PARAMS)), BodyData(1, b"body"), BodyReceived(1)]
        assert side.end(1) and not side.closing and not side.protocol_violation


def test_truncated_request_is_not_complete() -> None:
    data = complete_request()
    for cut in range(len(data) - 8):
        assert not any(isinstance(event, BodyReceived) for event in events(ApplicationSide(1), data[:cut]))


def test_interleaved_requests_give_the_events_of_each() -> None:
    one, two = complete_request(1), complete_request(2, body=b"x" * 10)
    parts = [list(Decoder().feed(data)) for data in (one, two)]
    mixed = [record for pair in zip(*parts, strict=True) for record in pair]
    side = ApplicationSide(2)
    got = [event for r in mixed for event in events(side, encode(r.type, r.request, r.content))]
    assert [e for e in got if e.request == 1] == events(ApplicationSide(1), one)
    assert [e for e in got if e.request == 2] == events(ApplicationSide(1), two)


def test_requests_above_the_limit_are_refused_and_never_begin() -> None:
    side = ApplicationSide(1)
    got = events(side, complete_request(1) + complete_request(2))
    assert Refused(2, Status.OVERLOADED) in got and not any(
        isinstance(e, ParamsReceived) and e.request == 2 for e in got
    )
    (end,) = Decoder().feed(bytes(side.output))
    assert (end.type, end.request, read_end(end.content)) == (Type.END_REQUEST, 2, (0, Status.OVERLOADED))
    assert not side.protocol_violation and 1 in side.open


def test_other_roles_are_refused() -> None:
    side = ApplicationSide(4)
    assert events(side, encode_begin(3, True, Role.FILTER)) == [Refused(3, Status.UNKNOWN_ROLE)]
    assert not side.open


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        encode_begin(0, True),
        encode(Type.PARAMS, 0),
        encode(Type.STDIN, 0, b"x"),
        encode_begin(1, True) * 2,
        encode(Type.BEGIN_REQUEST, 1, b"short"),
        encode_begin(1, True) + encode(Type.STDIN, 1, b"x"),
        encode_begin(1, True) + encode(Type.PARAMS, 1, b"\x05\x01a") + encode(Type.PARAMS, 1),
        encode_begin(1, True) + encode(Type.PARAMS, 1) * 2,
        complete_request() + encode(Type.STDIN, 1, b"more"),
        complete_request() + encode(Type.PARAMS, 1, b"more"),
        encode_begin(1, True) + encode_stream(Type.PARAMS, 1, bytes(app.MAX_PARAMS_BYTES + 1)),
        encode_begin(1, True) + encode_stream(Type.PARAMS, 1, b"\x00\x00" * 300) + encode(Type.PARAMS, 1),
        encode(Type.STDIN, 9, b"") * (app.MAX_IGNORED_RECORDS + 1),
        encode(77, 0) * (app.MAX_IGNORED_RECORDS + 1),
        encode_begin(1, True, Role.FILTER) * (app.MAX_IGNORED_RECORDS + 1),
    ],
)  # fmt: skip
def test_protocol_violation_stops_reading_but_keeps_complete_requests(data: bytes) -> None:
    side = ApplicationSide(4)
    events(side, complete_request(99))
    events(side, data)
    assert side.protocol_violation and side.open[99].state == app.State.WHOLE
    assert events(side, complete_request(5)) == []


@pytest.mark.parametrize(
    "data", [encode(Type.STDIN, 9, b"x"), encode(Type.ABORT_REQUEST, 9), encode(Type.DATA, 1)]
)
def test_records_of_requests_that_are_not_open_are_ignored(data: bytes) -> None:
    side = ApplicationSide(1)
    assert events(side, data) == [] and not side.protocol_violation
    assert events(side, complete_request())[-1] == BodyReceived(1)


def test_id_of_an_aborted_request_is_free_after_its_end() -> None:
    side = ApplicationSide(1)
    events(side, complete_request())
    assert events(side, encode(Type.ABORT_REQUEST, 1)) == [Aborted(1)]
    assert events(side, encode(Type.ABORT_REQUEST, 1)) == []  # once
    side.end(1)
    assert events(side, complete_request())[-1] == BodyReceived(1)


def test_connection_closes_after_a_request_without_keep_conn() -> None:
    side = ApplicationSide(2)
    events(side, complete_request(1, keep=False) + complete_request(2))
    side.end(2)
    assert not side.closing
    side.end(1)
    assert side.closing


def test_management_records_are_answered() -> None:
    side = ApplicationSide(3)
    requested = encode_pairs([(b"FCGI_MPXS_CONNS", b""), (b"FCGI_MAX_REQS", b""), (b"OTHER", b"")])
    assert events(side, encode(Type.GET_VALUES, 0, requested) + encode(99, 0)) == []
    values, unknown = Decoder().feed(bytes(side.output))
    assert dict(read_pairs(values.content, 9)) == {b"FCGI_MPXS_CONNS": b"1", b"FCGI_MAX_REQS": b"3"}
    assert (unknown.type, unknown.content[0]) == (Type.UNKNOWN_TYPE, 99)


RECORDS = st.tuples(
    st.sampled_from([*Type, 0, 12, 255]), st.integers(0, 3),
    st.sampled_from([b"", b"x", bytes(8), encode_begin(1, True)[8:16], encode_pairs(PARAMS), encode_end(1)[8:16]]),
)  # fmt: skip


@property_test
@given(st.lists(RECORDS, max_size=40), st.lists(st.integers(0, 2000), max_size=6), st.randoms())
def test_any_sequence_of_records_raises_nothing_and_stays_within_limits(
    records: list[tuple[int, int, bytes]], cuts: list[int], randomness: random.Random
) -> None:
    """No exception is raised, open requests stay within the limit, and each complete request can be ended once."""
    data = b"".join(encode(*record) for record in records)
    side, server = ApplicationSide(2), WebServerSide()
    server.begin()
    whole: set[int] = set()
    for part in split_at(data, cuts):
        for event in side.feed(part):
            if isinstance(event, BodyReceived):
                assert event.request not in whole
                whole.add(event.request)
            elif isinstance(event, Aborted) and event.request in side.open:
                whole.discard(event.request)
                side.end(event.request)
        if whole and randomness.random() < 0.5:
            side.end(whole.pop())
        assert len(side.open) <= 2
        server.feed(part)


# The web server's side.


def feed_records(*records: tuple[Any, ...]) -> tuple[End | None, WebServerSide]:
    side = WebServerSide()
    side.begin()
    return side.feed(b"".join(encode(*record) for record in records)), side


END = encode_end(1)[8:16]


@pytest.mark.parametrize(
    "records, end, has_stray_records",
    [
        ([(Type.STDOUT, 1, b"a"), (Type.STDOUT, 1), (Type.END_REQUEST, 1, END)], End.ANSWERED, False),
        ([(Type.STDOUT, 1, b"a"), (Type.END_REQUEST, 1, END)], End.ANSWERED, False),
        ([(Type.END_REQUEST, 1, END)], End.SILENT, False),
        ([(Type.STDOUT, 1), (Type.END_REQUEST, 1, END)], End.SILENT, False),
        ([(Type.STDERR, 1, b"a"), (Type.END_REQUEST, 1, END)], End.SILENT, False),
        ([(Type.END_REQUEST, 1, encode_end(1, 1)[8:16])], End.NEVER_RAN, False),
        ([(Type.END_REQUEST, 1, encode_end(1, 2)[8:16])], End.NEVER_RAN, False),
        ([(Type.END_REQUEST, 1, encode_end(1, 3)[8:16])], End.NEVER_RAN, False),
        ([(Type.END_REQUEST, 1, encode_end(1, 9)[8:16])], End.BROKEN, False),
        ([(Type.STDOUT, 1, b"a"), (Type.END_REQUEST, 1, encode_end(1, 2)[8:16])], End.BROKEN, False),
        ([(Type.STDOUT, 1, b"a")], None, False),
        ([(Type.STDOUT, 7, b"a")], None, True),
        ([(Type.STDOUT, 1, b"a"), (Type.END_REQUEST, 1, END), (Type.STDOUT, 1, b"b")], End.ANSWERED, True),
        ([(Type.END_REQUEST, 1, b"odd")], End.BROKEN, True),
        ([(Type.STDIN, 1, b"a")], End.BROKEN, True),
        ([(Type.STDOUT, 0, b"a")], End.BROKEN, True),
        ([(Type.GET_VALUES_RESULT, 0, b"")], None, False),
    ],
)  # fmt: skip
def test_end_of_a_request_for_each_sequence_of_records(
    records: list[Any], end: End | None, has_stray_records: bool
) -> None:
    got, side = feed_records(*records)
    assert (got, side.has_stray_records) == (end, has_stray_records)
    assert end != End.ANSWERED or side.stdout == b"a"


def test_truncated_answer_has_not_ended() -> None:
    data = encode(Type.STDOUT, 1, b"Status: 200\r\n\r\nbody") + encode(Type.STDOUT, 1) + encode_end(1)
    for cut in range(len(data)):
        side = WebServerSide()
        side.begin()
        assert side.feed(data[:cut]) is None
        assert (
            side.feed(data[cut:]) == End.ANSWERED
            and side.stdout.endswith(b"body")
            and not side.has_stray_records
        )


def test_stderr_is_kept_up_to_a_limit() -> None:
    _, side = feed_records(*[(Type.STDERR, 1, bytes(1000))] * 10)
    assert len(side.stderr) == MAX_STDERR_BYTES


def test_late_record_of_the_previous_request_is_not_read_as_the_next_answer() -> None:
    side = WebServerSide()
    first = side.begin()
    side.feed(encode(Type.STDOUT, first, b"a") + encode_end(first))
    second = side.begin()
    assert second != first
    assert side.feed(
        encode(Type.STDOUT, first, b"late") + encode(Type.STDOUT, second, b"b") + encode_end(second)
    )
    assert side.stdout == b"b" and side.has_stray_records


def test_request_can_begin_only_after_its_params_have_ended() -> None:
    data, head = encode_request(1, PARAMS, b"body", True)
    assert [r.type for r in Decoder().feed(data[:head])] == [Type.BEGIN_REQUEST, Type.PARAMS, Type.PARAMS]
    assert [r.type for r in Decoder().feed(data[head:])] == [Type.STDIN, Type.STDIN]
    for cut in range(head):
        assert not any(isinstance(e, ParamsReceived) for e in events(ApplicationSide(1), data[:cut]))
    assert any(isinstance(e, ParamsReceived) for e in events(ApplicationSide(1), data[:head]))


# CGI.


@pytest.mark.parametrize(
    "block, status, lines",
    [
        (b"Content-Type: a", 200, [b"Content-Type: a\r\n"]),
        (b"Status: 404 Gone Away\nX: y", 404, [b"X: y\r\n"]),
        (b"Location: http://x/", 302, [b"Location: http://x/\r\n"]),
        (b"Status: 201\r\nLocation: /new", 201, [b"Location: /new\r\n"]),  # Status takes precedence
        (b"Set-Cookie: a\r\nSet-Cookie: b", 200, [b"Set-Cookie: a\r\n", b"Set-Cookie: b\r\n"]),
    ],
)
def test_valid_header_blocks_are_parsed(block: bytes, status: int, lines: list[bytes]) -> None:
    head = read_head(block)
    assert (head.status, head.lines) == (status, lines)


@pytest.mark.parametrize(
    "block",
    [b"no header", b"Status: abc", b"Status: 99", b"Status: 100", b"Status: 200\nStatus: 404", b"X Y: 1", b": 1",
     b"A: b\x00c", b"Content-Length: ten", b"Content-Length: -1", b"Content-Length: 1\nContent-Length: 2",
     b"Transfer-Encoding: chunked", b"A: b\rC: d", b""],
)  # fmt: skip
def test_invalid_header_block_is_an_error(block: bytes) -> None:
    with pytest.raises(CgiError):
        read_head(block)


@pytest.mark.parametrize("mark", [b"\r\n\r\n", b"\n\n"])
def test_end_of_a_header_block_is_found(mark: bytes) -> None:
    data = b"A: b" + mark + b"body\r\n\r\nmore\n\n"
    assert find_end(data) == (4, 4 + len(mark))
    assert find_end(data[: 3 + len(mark)]) is None
    assert find_end(bytes(100_000) + b"\n\n") is None


def test_header_line_of_spaces_is_matched_without_backtracking() -> None:
    """A pattern that backtracks over the spaces would block every other request."""
    with pytest.raises(CgiError):
        read_head(b"A:" + b" \t" * 15_000 + b"\x00")


def params_of(head: bytes, length: int) -> dict[bytes, bytes]:
    """Return all params that an application gets for a request."""
    fixed = fixed_params({b"SCRIPT_FILENAME": b"/app"})
    requested = to_params(head, length, fixed, b"1.2.3.4", 900)
    assert not fixed.keys() & dict(requested).keys()
    return {**fixed, **dict(requested)}


def test_request_converted_to_params_and_back_is_unchanged() -> None:
    head = (
        b"POST /a/b?c=d HTTP/1.1\r\nHost: h:81\r\nX-Some-Thing: 1\r\nContent-Type: t\r\nContent-Length: 4\r\n"
    )
    params = params_of(head, 4)
    assert params[b"REQUEST_METHOD"] == b"POST" and params[b"REQUEST_URI"] == b"/a/b?c=d"
    assert params[b"HTTP_X_SOME_THING"] == b"1" and params[b"CONTENT_TYPE"] == b"t"
    assert (params[b"SERVER_NAME"], params[b"SERVER_PORT"]) == (b"h", b"81")
    assert params[b"CONTENT_LENGTH"] == b"4" and params[b"REQUEST_TIMEOUT_MS"] == b"900"
    assert b"HTTP_CONTENT_LENGTH" not in params and params[b"SCRIPT_FILENAME"] == b"/app"
    requested = from_params(params)
    assert (requested.method, requested.target, requested.length) == (b"POST", b"/a/b?c=d", 4)
    assert dict(requested.headers) == {b"Host": b"h:81", b"X-Some-Thing": b"1", b"Content-Type": b"t"}


def test_client_headers_cannot_forge_params() -> None:
    head = b"GET / HTTP/1.1\r\nHost: h\r\nProxy: evil\r\nX_User: evil\r\nX-User: good\r\nScript-Filename: evil\r\n"
    params = params_of(head, 0)
    assert b"HTTP_PROXY" not in params and params[b"HTTP_X_USER"] == b"good"
    assert params[b"SCRIPT_FILENAME"] == b"/app" and params[b"CONTENT_LENGTH"] == b""


@pytest.mark.parametrize(
    "change",
    [{b"REQUEST_METHOD": b""}, {b"REQUEST_METHOD": b"A B"}, {b"REQUEST_METHOD": b"A\r\nX: 1"}, {b"REQUEST_URI": b"a b"},
     {b"REQUEST_URI": b"/a\r\nX: 1"}, {b"REQUEST_URI": b""}, {b"HTTP_X": b"a\r\nEvil: 1"}, {b"HTTP_X\r\nEVIL": b"1"},
     {b"CONTENT_LENGTH": b"ten"}, {b"CONTENT_LENGTH": b"-1"}, {b"CONTENT_LENGTH": b"9" * 13}, {b"HTTP_X": b"\x00"}],
)  # fmt: skip
def test_invalid_params_are_an_error(change: dict[bytes, bytes]) -> None:
    with pytest.raises(CgiError):
        from_params({**dict(PARAMS), **change})


def test_target_is_built_from_script_name_without_request_uri() -> None:
    params = {b"REQUEST_METHOD": b"GET", b"SCRIPT_NAME": b"/s", b"PATH_INFO": b"/p", b"QUERY_STRING": b"q"}
    assert from_params(params).target == b"/s/p?q"


def test_answer_written_and_parsed_is_unchanged() -> None:
    data = write_answer(404, b"Not Found", [b"X: y\r\n"], b"body")
    at = find_end(data)
    assert at is not None
    head = read_head(data[: at[0]])
    assert (head.status, head.reason, head.lines, head.length) == (404, b"Not Found", [b"X: y\r\n"], 4)
    assert data[at[1] :] == b"body"
