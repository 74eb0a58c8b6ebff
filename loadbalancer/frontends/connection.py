"""Base class of client connections: the phase, the admission accounting and the limits that all protocols share.

Code that reads or writes bytes of a protocol belongs in the module of that protocol.
"""

from __future__ import annotations

import asyncio
import select
import socket
import time
from enum import IntEnum
from typing import TYPE_CHECKING, cast

from loadbalancer.admission.pressure import UNUSED_AFTER_S
from loadbalancer.kernel_buffers import reset_on_close, unacknowledged_bytes

if TYPE_CHECKING:
    from loadbalancer.frontends.admission_gate import AdmittedConnection
    from loadbalancer.frontends.listener import Listener

#: Time limit for receiving a complete request; on a new connection it counts from connecting. Guards against clients
#: that send nothing and against heads and bodies that never end: a bad client must get an answer or a close within
#: 3 s. The cost: a well-behaved client that is slower than this must send its request again.
REQUEST_S = 2.5


class Phase(IntEnum):
    """States of reading from a client connection."""

    IDLE = 0
    HEAD = 1
    BODY = 2
    WHOLE = 3  # a request is being served
    LINGER = 4  # the last answer has been written
    TUNNEL = 5  # the connection has been upgraded to another protocol


class FrontConnection(asyncio.Protocol):
    """A client connection as its listener handles it, independent of the protocol."""

    listener: Listener
    sock: socket.socket
    transport: asyncio.Transport | None
    overflow: bool  # past the connection limit: accepted only to be refused
    admitted: AdmittedConnection | None = None  # set if the listener has an admission gate
    phase: Phase
    request_count: int = 0  # complete requests received
    recorded_unused: bool = False  # already recorded as not reused, after a long idle time
    since: float  # monotonic time at which the phase began
    blocked_since: float = 0.0  # monotonic time since which the client has not read its answer; 0 if it reads
    secure: bool = False  # over TLS
    certificate_names: tuple[str, ...] = ()  # subject names in the client's certificate
    _charged_output: int = 0  # bytes of the write buffer that are charged to the account
    _last_unread_bytes: int = 0  # written bytes that the client had not read at the last check

    def close_if_idle(self) -> bool:
        """Close the connection if no request is open on it; return whether it was closed.

        It stays open if a request waits unread in the kernel, because that request must be served, or if part of an
        answer is still in the write buffer. What comes after the last answer is no request. Guards against requests
        lost when the proxy is short of CPU and reads late, and against answers that are cut off.
        """
        if self.transport is not None and self.transport.get_write_buffer_size():
            return False
        if self.phase != Phase.LINGER and (self.has_unparsed_input() or self._peek()):
            return False
        self.listener.evictable.remove(self)
        self.abort()
        return True

    def _peek(self) -> bytes | None:
        """Return the first unread byte in the kernel: None if there is none, empty if the connection has ended."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def has_left(self) -> bool:
        """Return whether the client has closed its side, read or not; if so, cancel its requests.

        Guards against attempts for clients that left while the process was busy or reading was paused: the end of the
        stream is then in the kernel, possibly behind unread bytes. The cost is a system call for each attempt.
        """
        unread = self._peek()
        if unread is None or (unread and not self._ends_behind_bytes()):
            return False
        self.cancel_all_requests()
        self.abort()
        return True

    def _ends_behind_bytes(self) -> bool:
        """Return whether the client has closed its sending direction, even if bytes before the end are unread."""
        poller = select.poll()
        poller.register(self.sock, select.POLLRDHUP)
        return bool(poller.poll(0))

    def cancel_all_requests(self) -> None:
        """Cancel all requests of the connection; the client no longer waits for an answer."""
        raise NotImplementedError

    def register(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to its listener once it is open and its TLS handshake, if any, is done."""
        self.transport = cast(asyncio.Transport, transport)
        if transport.get_extra_info("ssl_object") is None:
            # pause_writing then reports that the client has no room for something, and resume_writing that it has all.
            self.transport.set_write_buffer_limits(high=0, low=0)
        acceptor = self.listener.tls
        if acceptor is not None and (ssl_object := transport.get_extra_info("ssl_object")) is not None:
            self.secure, self.certificate_names = True, acceptor.certificate_names(ssl_object)
        self.listener.add(self)

    def end_writing(self) -> None:
        """Close the sending direction; with TLS this closes both directions."""
        assert self.transport is not None
        if self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, without sending what is still in the write buffer."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close the connection with a reset, so that the client sees that an answer is incomplete, however framed."""
        reset_on_close(self.sock)
        self.abort()

    def write(self, data: bytes) -> None:
        """Write directly to the socket, or behind what waits in the transport's buffer.

        That way the buffer holds only what the client has made no room for.
        """
        transport = self.transport
        assert transport is not None
        if transport.is_closing():
            return
        if self.secure or transport.get_write_buffer_size():
            transport.write(data)
            if self.blocked_since:
                self._charge_output()
            return
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            transport.abort()
            return
        if sent < len(data):
            transport.write(data[sent:])

    # What the client has not read.

    def begin_blocked(self) -> None:
        """Charge what the client has made no room for, and record since when it has not read."""
        self.blocked_since = time.monotonic()
        self._charge_output()

    def _charge_output(self) -> None:
        assert self.transport is not None
        size = self.transport.get_write_buffer_size()
        self.listener.account.charge(size - self._charged_output)
        self._charged_output = size

    def has_write_progress(self) -> bool:
        """Return whether the client has read some of the written data since the last call."""
        assert self.transport is not None
        unread_bytes = self.transport.get_write_buffer_size() + unacknowledged_bytes(self.sock)
        before, self._last_unread_bytes = self._last_unread_bytes, unread_bytes
        return unread_bytes < before

    def end_blocked(self) -> None:
        """Release the charge, once the client has read all or the connection has ended."""
        self.blocked_since = 0.0
        self.listener.account.release(self._charged_output)
        self._charged_output = 0

    # Memory.

    def reclaimable_bytes(self) -> int:
        """Return how many charged bytes `evict_for_memory` would free now."""
        return self._charged_output

    def idle_for_s(self, now: float) -> float:
        """Return for how many seconds the client has neither sent nor read; `now` is monotonic."""
        return now - (self.blocked_since or self.since)

    def evict_for_memory(self) -> str:
        """End the connection to free memory, and return what it was doing, for the log."""
        self.end_blocked()
        self.reset()
        return "an answer that is not read"

    # Admission.

    def unwrap(self, data: bytes) -> bytes:
        """Return the data without a due PROXY header; close the connection if it is refused."""
        admitted = self.admitted
        if admitted is None or admitted.header is None:
            return data
        return self.listener.unwrap(self, admitted, data)

    def try_begin_request(self) -> bool:
        """Return whether the address may open one more request; if so, it counts as open until `end_request`."""
        return self.admitted is None or self.admitted.gate.try_begin_request(self.admitted)

    def end_request(self, was_answered: bool) -> None:
        """Count an open request as ended; `was_answered`: it was complete and has been answered."""
        if self.admitted is not None:
            self.admitted.gate.end_request(self.admitted, was_answered)

    def record_malformed(self) -> None:
        """Record that the client sent unreadable data, or did not read its answer."""
        if self.admitted is not None:
            self.admitted.gate.record_malformed(self.admitted)

    def record_silence(self) -> None:
        """Record that no complete request arrived in time."""
        if self.admitted is not None:
            self.admitted.gate.record_silence(self.admitted)

    def ends_after_answer(self) -> bool:
        """Return whether the first answer closes the connection, because it uses a slot reserved for known networks."""
        return self.admitted is not None and self.admitted.ends_after_answer

    def is_protected(self) -> bool:
        """Return whether the client is of a known network; only other such clients may evict the connection."""
        return self.admitted is not None and self.admitted.known

    def record_request(self) -> None:
        """Record that a complete request has arrived."""
        self.request_count += 1
        if self.request_count == 1:
            self.listener.evictable.unused.pop(self, None)
        elif self.request_count == 2:
            self.listener.pressure.reuse.record(True)

    def mark_idle(self) -> None:
        """Record that no request is open and the connection waits for the next one."""
        self.listener.evictable.add_idle(self)

    def mark_active(self) -> None:
        """Record that a request has begun to arrive."""
        self.listener.evictable.remove_idle(self)

    def idle_timeout_s(self) -> float:
        """Return the current idle timeout in seconds."""
        return (
            self.listener.pressure.step.idle_timeout_s
            if self.request_count and not self.overflow
            else REQUEST_S
        )

    def record_unused(self, now: float) -> None:
        """Record once that the connection was not reused, if it has been idle long enough after its first request."""
        if not self.recorded_unused and self.request_count == 1 and now - self.since > UNUSED_AFTER_S:
            self.recorded_unused = True
            self.listener.pressure.reuse.record(False)
            if self.admitted is not None:
                self.admitted.gate.record_wasted(self.admitted)

    def sweep(self, now: float) -> None:
        """Enforce the timeouts of the connection; the listener calls this periodically."""
        raise NotImplementedError

    def is_busy(self) -> bool:
        """Return whether a shutdown must still wait for the connection."""
        raise NotImplementedError

    def has_waiting_requests(self) -> bool:
        """Return whether a complete request waits behind the one being served."""
        return False

    def has_unparsed_input(self) -> bool:
        """Return whether input was read that is not parsed yet, so that it may hold a request."""
        return False

    def read_on(self) -> None:
        """Discard one more share of what the client sends after its last answer; the listener's pacer calls this."""

    def refuse(self, response: bytes) -> None:
        """Write these bytes and close the connection, before anything has been read from it."""
        raise NotImplementedError
