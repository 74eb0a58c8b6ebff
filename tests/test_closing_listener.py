"""Closing a listener while clients connect between its last accept and its close."""

from __future__ import annotations

import asyncio
import errno
import select
import socket

import pytest
from peers import OK, Client, ScriptedBackend, answering, request, run_with_timeout, running_proxy

from loadbalancer.frontends.listener import Listener, drain


def is_connected_at_once(address: tuple[str, int]) -> bool:
    """Return whether a connection is established at once, as it is on the loopback if a process listens."""
    with socket.socket() as sock:
        sock.setblocking(False)
        assert sock.connect_ex(address) in (0, errno.EINPROGRESS)
        poller = select.poll()
        poller.register(sock, select.POLLOUT)
        return bool(poller.poll(0))


def connect_with_delayed_ack(address: tuple[str, int]) -> socket.socket:
    """Return a connected client socket whose last handshake segment is delayed until it sends its first bytes."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
    sock.connect(address)
    sock.setblocking(False)
    return sock


# Guards against a connection that is accepted as the listener closes, and on which nothing is ever received.
def test_handshake_that_completes_while_connections_are_blocked_is_served() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("a", answering(OK))) as here:
            sock = connect_with_delayed_ack(here.address)
            here.server.block()
            assert not is_connected_at_once(here.address)
            client = Client(*await asyncio.open_connection(sock=sock))
            here.clients.append(client)
            assert (await client.ask(request()))[0] == 200

    run_with_timeout(scene)


# Guards against a new connection that is established, sends its request, and is reset as the listener closes.
def test_no_connection_is_established_between_the_last_accept_and_the_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    close = Listener.close
    connected_before_close: list[bool] = []

    def connect_and_close(self: Listener) -> None:
        if self._sock is not None:
            connected_before_close.append(is_connected_at_once(self.address))
        close(self)

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("a", answering(OK))) as here:
            assert is_connected_at_once(here.address)
            client = await here.connect()
            assert (await client.ask(request()))[0] == 200
            waiting = await asyncio.open_connection(*here.address)
            monkeypatch.setattr(Listener, "close", connect_and_close)
            await drain([here.server], 0.1, blocks_connections=True)
            monkeypatch.undo()
            assert connected_before_close == [False]
            waiting[1].close()

    run_with_timeout(scene)


# Guards against a client that counts as connected before its handshake has ended, and whose request is reset.
def test_handshake_that_completes_during_the_drain_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    block = Listener.block

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("a", answering(OK))) as here:
            connected: list[socket.socket] = []

            def connect_and_block(self: Listener) -> None:
                connected.append(connect_with_delayed_ack(self.address))
                block(self)
                asyncio.get_running_loop().call_soon(connected[0].send, request())

            monkeypatch.setattr(Listener, "block", connect_and_block)
            await drain([here.server], 1.5, blocks_connections=True)
            client = Client(*await asyncio.open_connection(sock=connected[0]))
            here.clients.append(client)
            assert (await client.read())[0] == 200

    run_with_timeout(scene)


# Guards against a successor that receives no connections, because its predecessor blocked the socket they share.
def test_socket_that_was_offered_to_a_successor_is_not_blocked() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("a", answering(OK))) as here:
            here.server.was_offered = True
            here.server.block()
            assert is_connected_at_once(here.address)
            here.server.was_offered = False
            here.server.block()
            assert not is_connected_at_once(here.address)

    run_with_timeout(scene)
