"""When a client may have written the last byte of a body in chunks, and that its answer comes in time behind a hang."""

from __future__ import annotations

import asyncio
import time

import pytest
from peers import TIMEOUT_S, request, run_with_timeout, running_proxy
from test_uploads import RawMember, paused_member

from loadbalancer.frontends.http1 import MEMBER_HANG_S
from loadbalancer.frontends.last_byte_estimate import (
    CAUGHT_UP_S,
    CLIENT_SEND_BUFFER_BYTES,
    MARK_BYTES,
    LastByteEstimate,
)

REMAINING_S = 2.0
BODY_BYTES = 12 << 20


def test_last_byte_may_have_been_written_as_early_as_a_send_buffer_before_what_was_read() -> None:
    """Guards against a time that begins only when the proxy reads the last byte."""
    estimate = LastByteEstimate(10.0)
    step_s, read_bytes = CAUGHT_UP_S / 2, 0
    for number in range(1, 101):
        read_bytes = number * MARK_BYTES
        estimate.record(read_bytes, 10.0 + number * step_s, 0.0)
    marks_in_buffer = CLIENT_SEND_BUFFER_BYTES // MARK_BYTES
    assert estimate.earliest == pytest.approx(10.0 + (100 - marks_in_buffer) * step_s)


def test_client_whose_input_pauses_by_itself_has_written_no_last_byte_before() -> None:
    """Guards against clients that send slowly, and would be refused for the time that they take themselves."""
    estimate = LastByteEstimate(10.0)
    estimate.record(1000, 10.0, 0.0)
    estimate.record(2000, 15.0, 0.0)
    assert estimate.earliest == 15.0


def test_time_in_which_the_proxy_did_not_read_is_not_the_clients() -> None:
    """Guards against a hang of a member that is taken for a pause of its client."""
    estimate = LastByteEstimate(10.0)
    estimate.record(1000, 10.0, 0.0)
    estimate.record(2000, 15.0, 15.0 - CAUGHT_UP_S / 2)
    assert estimate.earliest == 10.0


@pytest.mark.parametrize("cls", ["keyed", "unsafe"])
def test_long_body_in_chunks_behind_a_hung_member_is_answered_in_its_time(cls: str) -> None:
    """Guards against a client that has written all of its request, and hears nothing while its member hangs."""

    async def scene() -> None:
        async with paused_member() as (member, _), running_proxy(member) as here:
            client = await here.connect()
            head = request(cls, None, f"{REMAINING_S * 1000:.0f}m").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked"
            )
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (BODY_BYTES, bytes(BODY_BYTES))
            sending = asyncio.ensure_future(client.send(head + body))
            await here.proxy.until(lambda: here.proxy.uploads)
            (connection,) = here.connections()
            while not connection.upload_paused or connection.last_byte is None:
                await asyncio.sleep(0)
            connection.sweep(connection.last_byte.earliest + REMAINING_S - MEMBER_HANG_S)
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
            head = request("unsafe", None, "1m").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            await client.send(head + b"%x\r\n%b\r\n" % (BODY_BYTES, bytes(BODY_BYTES)))
            await here.proxy.until(lambda: here.proxy.uploads)
            (connection,) = here.connections()
            connection.upload_paused, connection.upload_paused_at = True, time.monotonic()
            connection.sweep(time.monotonic() + MEMBER_HANG_S / 2)
            assert connection.request is not None

    run_with_timeout(scene)
