"""What a listener needs of a client's connection, whatever protocol it speaks: its phase, and what it counts for.

What may live here: nothing that reads or writes a byte of a protocol; that is the protocol's file.
"""

from __future__ import annotations

import asyncio
import select
import socket
import time
from enum import IntEnum
from typing import TYPE_CHECKING, cast

from loadbalancer.admission.pressure import UNUSED_AFTER_S
from loadbalancer.resource_limits import BufferBudget

if TYPE_CHECKING:
    from loadbalancer.frontends.admission_gate import AdmittedConnection
    from loadbalancer.frontends.listener import Listener

#: A request has this long to come whole, and a new connection to send one, counted from connecting. Guards
#: against silence, heads and bodies without end, and whatever else does not become a request: bad clients are
#: owed an answer or a close within 3 s. Harm: a good client slower than this must ask again.
REQUEST_S = 2.5


class Phase(IntEnum):
    """Of reading a connection."""

    IDLE = 0
    HEAD = 1
    BODY = 2
    WHOLE = 3
    LINGER = 4  # the last answer is written
    TUNNEL = 5  # it speaks another protocol


class FrontConnection(asyncio.Protocol):
    """What a listener needs of a connection, whatever protocol it speaks."""

    listener: Listener
    sock: socket.socket
    transport: asyncio.Transport | None
    overflow: bool  # past the limit: held to be turned away
    visit: AdmittedConnection | None = None  # where the listener has a gate
    phase: Phase
    asked: int = 0  # whole requests that have come
    quiet: bool = False  # it has been idle for so long that it counts as not used again
    since: float  # monotonic, of the phase
    blocked: float = 0.0  # monotonic, since when the client has not taken what was written
    secure: bool = False  # over TLS
    names: tuple[str, ...] = ()  # in the client's certificate
    _charged: int = 0  # bytes, to the budget below
    _charged_to: BufferBudget | None = None
    _left: int = 0  # bytes that the client had not taken when last looked at

    def retire(self) -> bool:
        """Close a connection with no open request, unless one waits in the kernel: that is ours already.

        Guards against requests lost by a proxy that is short of CPU and reads late, and against answers cut off whose
        end is still in our buffer."""
        if self.transport is not None and self.transport.get_write_buffer_size():
            return False
        if self._peek():
            return False
        self.listener.evictable.remove(self)
        self.abort()
        return True

    def _peek(self) -> bytes | None:
        """What waits in the kernel: None where nothing does, no bytes where the connection has ended or broken."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def has_left(self) -> bool:
        """Whether the client has ended its side, though that has not been read yet; then all it asked is withdrawn.

        Guards against attempts for clients that left while we were busy, or while nothing is read from them: the end
        is in the kernel, maybe behind bytes that wait there. Harm: a call of the system for each attempt."""
        unread = self._peek()
        if unread is None or (unread and not self._ends_behind_bytes()):
            return False
        self.withdraw_all()
        self.abort()
        return True

    def _ends_behind_bytes(self) -> bool:
        poller = select.poll()
        poller.register(self.sock, select.POLLRDHUP)
        return bool(poller.poll(0))

    def withdraw_all(self) -> None:
        """Nobody waits for anything of this connection any more."""
        raise NotImplementedError

    def joined(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open, and its handshake done where it has one."""
        self.transport = cast(asyncio.Transport, transport)
        door = self.listener.tls
        if door is not None and (shaken := transport.get_extra_info("ssl_object")) is not None:
            self.secure, self.names = True, door.names_of(shaken)
        self.listener.joined(self)

    def end_writing(self) -> None:
        """No more is said. Over TLS that is the end of both directions."""
        assert self.transport is not None
        if self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def charge(self, budget: BufferBudget | None) -> None:
        """The client does not take what was written: that counts as buffered."""
        assert self.transport is not None
        self.blocked = time.monotonic()
        if budget is not None:
            self._charged = self.transport.get_write_buffer_size()
            self._charged_to = budget
            budget.held_bytes += self._charged

    def takes(self) -> bool:
        """Whether the client has taken some of what was written since the last call."""
        assert self.transport is not None
        before, self._left = self._left, self.transport.get_write_buffer_size()
        return self._left < before

    def uncharge(self) -> None:
        self.blocked = 0.0
        if self._charged_to is not None:
            self._charged_to.release(self._charged)
        self._charged, self._charged_to = 0, None

    # Admission.

    def unwrap(self, data: bytes) -> bytes:
        """What comes after the PROXY header, if one is still to come; a connection that may not be is ended."""
        visit = self.visit
        if visit is None or visit.header is None:
            return data
        return self.listener.unwrap(self, visit, data)

    def may_ask(self) -> bool:
        """Whether the address may have one more request open; it counts until `request_over`."""
        return self.visit is None or self.visit.gate.may_ask(self.visit)

    def request_over(self, good: bool) -> None:
        """A request that counted is open no more; `good`: it was whole and has its answer."""
        if self.visit is not None:
            self.visit.gate.answered(self.visit, good)

    def note_garbage(self) -> None:
        """What came can't be read, or what was written is not taken."""
        if self.visit is not None:
            self.visit.gate.garbage(self.visit)

    def note_silence(self) -> None:
        """No whole request has come in its time."""
        if self.visit is not None:
            self.visit.gate.silent(self.visit)

    def is_once(self) -> bool:
        """Whether its slot is lent: the first answer ends it."""
        return self.visit is not None and self.visit.once

    def is_guarded(self) -> bool:
        """Whether it is a known client's: nobody else may push it out."""
        return self.visit is not None and self.visit.known

    def note_request(self) -> None:
        """A whole request has come."""
        self.asked += 1
        if self.asked == 1:
            self.listener.evictable.unused.pop(self, None)
        elif self.asked == 2:
            self.listener.pressure.reuse.record(True)

    def rest(self) -> None:
        """No request is open on it; the next may come."""
        self.listener.evictable.add_idle(self)

    def wake(self) -> None:
        """A request begins."""
        self.listener.evictable.remove_idle(self)

    def idle_most(self) -> float:
        """Seconds that it may be idle, now."""
        return self.listener.pressure.step.idle_timeout_s if self.asked and not self.overflow else REQUEST_S

    def note_quiet(self, now: float) -> None:
        """For the measure of reuse; idle after its first request."""
        if not self.quiet and self.asked == 1 and now - self.since > UNUSED_AFTER_S:
            self.quiet = True
            self.listener.pressure.reuse.record(False)
            if self.visit is not None:
                self.visit.gate.wasted(self.visit)

    def sweep(self, now: float) -> None:
        raise NotImplementedError

    def is_busy(self) -> bool:
        raise NotImplementedError

    def owes(self) -> bool:
        """Whether a whole request waits behind the one being served."""
        return False

    def refuse(self, words: bytes) -> None:
        """End it with these bytes, before anything of it has been read."""
        raise NotImplementedError
