"""A listener that closes: connections cross the moment between its last accept and its end."""

from __future__ import annotations

import asyncio
import errno
import select
import socket

import pytest
from peers import OK, Client, ScriptedBackend, answering, play, request, world

from loadbalancer.frontends.listener import Listener, drain


def connects(address: tuple[str, int]) -> bool:
    """Whether a connection is established at once, as it is on the loopback where somebody listens."""
    with socket.socket() as sock:
        sock.setblocking(False)
        assert sock.connect_ex(address) in (0, errno.EINPROGRESS)
        poller = select.poll()
        poller.register(sock, select.POLLOUT)
        return bool(poller.poll(0))


def connect_in_two_steps(address: tuple[str, int]) -> socket.socket:
    """A client that counts as connected, while the segment that ends its handshake waits for its first bytes."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
    sock.connect(address)
    sock.setblocking(False)
    return sock


# Guards against a connection that is accepted as the listener closes, and on which nothing is ever received.
def test_a_handshake_that_ends_while_new_connections_are_blocked_is_served() -> None:
    async def scene() -> None:
        async with world(ScriptedBackend("a", answering(OK))) as here:
            sock = connect_in_two_steps(here.address)
            here.server.block()
            assert not connects(here.address)
            client = Client(*await asyncio.open_connection(sock=sock))
            here.clients.append(client)
            assert (await client.ask(request()))[0] == 200

    play(scene)


# Guards against a new connection that is established, sends its request, and is reset as the listener closes.
def test_nobody_connects_between_the_last_accept_and_the_close(monkeypatch: pytest.MonkeyPatch) -> None:
    close = Listener.close
    found: list[bool] = []

    def connect_and_close(self: Listener) -> None:
        if self._sock is not None:
            found.append(connects(self.address))
        close(self)

    async def scene() -> None:
        async with world(ScriptedBackend("a", answering(OK))) as here:
            assert connects(here.address)
            client = await here.connect()
            assert (await client.ask(request()))[0] == 200
            waiting = await asyncio.open_connection(*here.address)
            monkeypatch.setattr(Listener, "close", connect_and_close)
            await drain([here.server], 0.1, blocks=True)
            monkeypatch.undo()
            assert found == [False]
            waiting[1].close()

    play(scene)


# Guards against a client that counts as connected before its handshake has ended, and whose request is reset.
def test_a_handshake_that_ends_after_new_connections_were_blocked_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    block = Listener.block

    async def scene() -> None:
        async with world(ScriptedBackend("a", answering(OK))) as here:
            connected: list[socket.socket] = []

            def connect_and_block(self: Listener) -> None:
                connected.append(connect_in_two_steps(self.address))
                block(self)
                asyncio.get_running_loop().call_soon(connected[0].send, request())

            monkeypatch.setattr(Listener, "block", connect_and_block)
            await drain([here.server], 1.5, blocks=True)
            client = Client(*await asyncio.open_connection(sock=connected[0]))
            here.clients.append(client)
            assert (await client.read())[0] == 200

    play(scene)


# Guards against a successor that hears nobody, since the process before it blocked the socket that both have.
def test_a_socket_that_was_offered_to_a_successor_is_not_blocked() -> None:
    async def scene() -> None:
        async with world(ScriptedBackend("a", answering(OK))) as here:
            here.server.was_offered = True
            here.server.block()
            assert connects(here.address)
            here.server.was_offered = False
            here.server.block()
            assert not connects(here.address)

    play(scene)
