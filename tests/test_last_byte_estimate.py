"""When a client may have written the last byte of a body in chunks, and that its answer comes in time behind a hang."""

from __future__ import annotations

import asyncio
import math
import time

import pytest
from peers import TIMEOUT_S, request, run_with_timeout, running_proxy
from test_uploads import RawMember, paused_member

from loadbalancer.frontends.http1 import MEMBER_HANG_S
from loadbalancer.frontends.last_byte_estimate import (
    CAUGHT_UP_S,
    MARK_BYTES,
    MAX_SEND_BUFFER_BYTES,
    LastByteEstimate,
)

REMAINING_S = 2.0
BODY_BYTES = MAX_SEND_BUFFER_BYTES + (64 << 10)


def test_last_byte_may_have_been_written_as_early_as_a_send_buffer_before_what_was_read() -> None:
    """Guards against a time that begins only when the proxy reads the last byte."""
    estimate = LastByteEstimate(None, 10.0)
    step_s = CAUGHT_UP_S / 2
    for number in range(1, 101):
        estimate.record(number * MARK_BYTES, 10.0 + number * step_s, 0.0)
    marks_in_buffer = MAX_SEND_BUFFER_BYTES // MARK_BYTES
    assert estimate.earliest == pytest.approx(10.0 + (100 - marks_in_buffer) * step_s)


def test_last_byte_of_an_announced_body_is_not_written_before_its_rest_fits_a_send_buffer() -> None:
    """Guards against an answer that comes seconds late where a client's send buffer is large, and one too early."""
    estimate = LastByteEstimate(MAX_SEND_BUFFER_BYTES + 10 * MARK_BYTES, 10.0)
    step_s = CAUGHT_UP_S / 2
    for number in range(1, 10):
        estimate.record(number * MARK_BYTES, 10.0 + number * step_s, 0.0)
        assert estimate.earliest == math.inf
    for number in range(10, 30):
        estimate.record(number * MARK_BYTES, 10.0 + number * step_s, 0.0)
        assert estimate.earliest == pytest.approx(10.0 + 10 * step_s)


def test_client_whose_input_pauses_by_itself_has_written_no_last_byte_before() -> None:
    """Guards against clients that send slowly, and would be refused for the time that they take themselves."""
    estimate = LastByteEstimate(None, 10.0)
    estimate.record(1000, 10.0, 0.0)
    estimate.record(2000, 15.0, 0.0)
    assert estimate.earliest == 15.0


def test_time_in_which_the_proxy_did_not_read_is_not_the_clients() -> None:
    """Guards against a hang of a member that is taken for a pause of its client."""
    estimate = LastByteEstimate(None, 10.0)
    estimate.record(1000, 10.0, 0.0)
    estimate.record(2000, 15.0, 15.0 - CAUGHT_UP_S / 2)
    assert estimate.earliest == 10.0


@pytest.mark.parametrize("framing", ["chunked", "length"])
@pytest.mark.parametrize("cls", ["keyed", "unsafe"])
def test_long_body_behind_a_hung_member_is_answered_in_its_time(cls: str, framing: str) -> None:
    """Guards against a client that has written all of its request, and hears nothing while its member hangs."""
    body, line = bytes(BODY_BYTES), b"Content-Length: %d" % BODY_BYTES
    if framing == "chunked":
        body, line = b"%x\r\n%b\r\n0\r\n\r\n" % (BODY_BYTES, body), b"Transfer-Encoding: chunked"

    async def scene() -> None:
        async with paused_member() as (member, _), running_proxy(member) as here:
            client = await here.connect()
            head = request(cls, None, f"{REMAINING_S * 1000:.0f}m").replace(b"Content-Length: 0", line)
            sending = asyncio.ensure_future(client.send(head + body))
            await here.proxy.until(lambda: here.proxy.uploads)
            (connection,) = here.connections()
            while (
                not connection.upload_paused or connection.body_received < BODY_BYTES - MAX_SEND_BUFFER_BYTES
            ):
                await asyncio.sleep(0)
            assert connection.last_byte is not None
            connection.sweep(connection.last_byte.earliest + REMAINING_S / 2)
            assert connection.request is not None  # it may still be served in time
            connection.sweep(time.monotonic() + REMAINING_S + MEMBER_HANG_S)
            assert (await client.read())[0] == 503
            await asyncio.wait_for(sending, TIMEOUT_S)
            if here.proxy.open:
                await here.proxy.until(lambda: not here.proxy.open)

    run_with_timeout(scene)


def test_long_body_in_chunks_that_moves_is_not_cut() -> None:
    """Guards against bodies that are refused while their member reads them, however long that takes in all."""

    async def scene() -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while (line := await reader.readline()) not in (b"0\r\n", b""):
                await reader.readexactly(int(line, 16) + 2)
            await reader.readline()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            await reader.read()

        async with running_proxy(RawMember("a", script)) as here:
            client = await here.connect()
            head = request("unsafe", None, f"{REMAINING_S * 1000:.0f}m").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked"
            )
            await client.send(head + b"%x\r\n%b\r\n" % (BODY_BYTES, bytes(BODY_BYTES)))
            await here.proxy.until(lambda: here.proxy.uploads)
            (connection,) = here.connections()
            connection.last_byte = LastByteEstimate(None, time.monotonic() - 10 * REMAINING_S)
            connection.upload_paused, connection.upload_paused_at = True, time.monotonic()
            connection.sweep(time.monotonic() + MEMBER_HANG_S / 2)
            assert connection.request is not None

    run_with_timeout(scene)
