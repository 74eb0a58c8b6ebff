"""One daemon takes over from another: listening sockets pass by SCM_RIGHTS, and nothing else has to.

The old one offers (`HotRestartOffer`) at a Unix socket beside its operators'; the new one takes (`take`), serves
on the same sockets beside it, and says so; only then the old one ends as at SIGTERM, but for the sockets, which stay.
Until the new one has said that it serves, whatever becomes of it changes nothing: its end is the end of the
connection, and the old one goes on. One at a time; both accept during the overlap, so no client finds a closed door.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import stat
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Callable, Iterator, Protocol

from loadbalancer.frontends.sockets import bind
from loadbalancer.resource_limits import RateLimitedLogger

#: Form of what passes; a daemon that does not know it takes nothing.
VERSION = 2
#: Listening sockets that pass at most.
SOCKETS_MOST = 64
#: Seconds that a new daemon has, from its taking to its serving.
TAKE_S = 60.0
SERVING, YOURS, STORE, RELEASED = b"serving\n", b"yours\n", b"store\n", b"released\n"
#: Bytes of what was learnt that are read.
LEARNT_MOST = 8 << 20
#: Bytes of one line of a successor.
LINE_MOST = 64 << 10
#: Before the host of a socket of datagrams, where sockets are told by their addresses.
DATAGRAMS = "udp:"


class SocketLender(Protocol):
    """Who has the store that a successor needs."""

    def lend(self, done: Callable[[], None]) -> None: ...
    def take_back(self) -> None: ...


def key_of(sock: socket.socket) -> tuple[str, int]:
    """By which a socket that passes is known: its address; one of datagrams may have that of one that listens."""
    name = sock.getsockname()
    if isinstance(name, str):
        return f"unix:{name}", 0
    return (DATAGRAMS if sock.type == socket.SOCK_DGRAM else "") + name[0], name[1]


@contextmanager
def learnt_file(data: bytes) -> Iterator[int]:
    """A descriptor of a file in memory that holds it: it passes with the sockets, of whatever length."""
    fd = os.memfd_create("learnt", os.MFD_CLOEXEC)
    try:
        with os.fdopen(os.dup(fd), "wb") as file:
            file.write(data)
        yield fd
    finally:
        os.close(fd)


class HotRestartError(Exception):
    """The sockets can't be taken over; says why."""


def offer_path(management: Path) -> Path:
    return management.with_name(management.name + ".take")


class HotRestartOffer:
    """The old daemon's side. `close` gives everything back."""

    def __init__(
        self,
        path: Path,
        sockets: Callable[[], list[socket.socket]],
        taken: Callable[[], None],
        logger: RateLimitedLogger,
        learnt: Callable[[], bytes] = bytes,
        store: SocketLender | None = None,
        told: Callable[[bytes], None] = lambda line: None,
    ) -> None:
        """`sockets`: those that listen now. `taken` is called once another process serves on them. `learnt`: what it
        may know. `store`: lent to it when it asks, and taken back if it comes to nothing. `told`: hears each line that
        the successor writes while this one ends."""
        self.path, self._sockets, self._taken, self.logger = path, sockets, taken, logger
        self._learnt, self._store, self._told = learnt, store, told
        self._lines = b""
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._taker: socket.socket | None = None
        self._follower: socket.socket | None = None  # the one that has taken
        self._timer: asyncio.TimerHandle | None = None
        self._inode = 0

    def open(self) -> None:
        self._inode = place(
            self.path, self._listen, 0o600, True
        )  # that of the daemon before it ends by and by

    def _listen(self, address: tuple[str, int]) -> None:
        self._sock = bind(address)
        self._loop.add_reader(self._sock, self._accept)

    @property
    def under_way(self) -> bool:
        """Whether somebody has the sockets and does not serve yet: what is said here now they would not know."""
        return self._taker is not None

    def _accept(self) -> None:
        assert self._sock is not None
        with suppress(OSError):
            sock, _ = self._sock.accept()
            sock.setblocking(False)
            if self._taker is not None:
                with suppress(OSError):
                    sock.send(b'{"error": "another upgrade is under way"}\n')
                sock.close()
                return
            self._give(sock)

    def _give(self, sock: socket.socket) -> None:
        sockets = self._sockets()
        addresses = ["{}:{}".format(*key) if key[1] else key[0] for key in map(key_of, sockets)]
        box = {
            "version": VERSION,
            "pid": os.getpid(),
            "listeners": addresses,
            "store": self._store is not None,
        }
        fds = [one.fileno() for one in sockets]
        try:
            with learnt_file(self._learnt()) as learnt:
                socket.send_fds(sock, [json.dumps(box).encode() + b"\n"], [*fds, learnt])
        except OSError as problem:
            self.logger("upgrade", f"sockets could not be passed: {problem}")
            sock.close()
            return
        self._taker = sock
        self._loop.add_reader(sock, self._heard)
        self._timer = self._loop.call_later(TAKE_S, self._forget, "it took too long")

    def _heard(self) -> None:
        assert self._taker is not None
        try:
            data = self._taker.recv(64)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data == STORE and self._store is not None:
            self._store.lend(self._lent)
            return
        if data != SERVING:
            self._forget("the new one has ended before it served")
            return
        with suppress(OSError):
            self._taker.send(YOURS)
        follower, self._taker = self._taker, None
        self._forget("")
        self._follow(follower)
        self._taken()

    def _follow(self, sock: socket.socket) -> None:
        """The successor tells what operators change from here on: drains hold for what is still answered here."""
        self._loop.remove_reader(sock)
        self._follower = sock
        self._loop.add_reader(sock, self._hear_line)

    def _hear_line(self) -> None:
        assert self._follower is not None
        try:
            data = self._follower.recv(1 << 16)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        *lines, self._lines = (self._lines + data).split(b"\n")
        for line in lines:
            self._told(line)
        if not data or len(self._lines) > LINE_MOST:
            self._leave_follower()

    def _leave_follower(self) -> None:
        if self._follower is not None:
            self._loop.remove_reader(self._follower)
            self._follower.close()
            self._follower = None

    def _lent(self) -> None:
        """The store is closed here. One that has gone meanwhile is heard as an end."""
        if self._taker is None:
            assert self._store is not None
            self._store.take_back()
            return
        with suppress(OSError):
            self._taker.send(RELEASED)

    def _forget(self, why: str) -> None:
        """The taker is gone, or has taken. Guards the service against a new build that is broken: this one goes on."""
        if why:
            self.logger("upgrade", f"nothing has changed: {why}")
            if self._store is not None:
                self._store.take_back()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._taker is not None:
            self._loop.remove_reader(self._taker)
            self._taker.close()
            self._taker = None

    def close(self) -> None:
        self._forget("")
        self._leave_follower()
        if self._sock is not None:
            self._loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
            remove_own(self.path, self._inode)


def remove_own(path: Path, inode: int) -> None:
    """Remove a socket's file if it is still ours: a successor's stands under the same name."""
    with suppress(OSError):
        if os.stat(path).st_ino == inode:
            path.unlink()


class InheritedState:
    """The new daemon's side: the sockets by address, and the word to the old one."""

    def __init__(
        self,
        sock: socket.socket,
        pid: int,
        sockets: dict[tuple[str, int], socket.socket],
        learnt: bytes = b"",
        lends: bool = False,
    ) -> None:
        """`learnt`: what the old one knows, not checked yet. `lends`: it has a store and lets go of it when asked."""
        self._sock, self.pid, self.sockets, self.learnt, self._lends = sock, pid, sockets, learnt, lends

    def claim(self, address: tuple[str, int]) -> socket.socket | None:
        """The socket that listens at an address; it is the caller's from here on."""
        return self.sockets.pop(address, None)

    def claim_datagrams(self, address: tuple[str, int]) -> socket.socket | None:
        """The same for datagrams."""
        return self.claim((DATAGRAMS + address[0], address[1]))

    def borrow_store(self) -> None:
        """Have the old one let go of its store; OSError where it does not. Blocks for some seconds at most: nothing is
        served by this process yet."""
        if not self._lends:
            return
        self._sock.sendall(STORE)
        if self._sock.recv(64) != RELEASED:
            raise OSError("the old daemon has not let go of the store")

    def serving(self) -> socket.socket:
        """This process serves. The way to the old one, which ends now, and is to hear what operators change meanwhile;
        it is the caller's. TakeoverError where the old one does not hear it."""
        try:
            self._sock.sendall(SERVING)
            if self._sock.recv(64) != YOURS:
                raise HotRestartError("the old daemon has not let go")
        except (OSError, HotRestartError) as problem:
            self.close()
            raise HotRestartError(f"the old daemon does not answer: {problem}") from None
        way = self._sock.dup()
        way.setblocking(False)
        self.close()
        return way

    def close(self) -> None:
        """What was not claimed is of no listener any more: its address is served by nobody once the old one ends."""
        self._sock.close()
        for sock in self.sockets.values():
            sock.close()
        self.sockets.clear()


def take(path: Path, seconds: float = 10.0) -> InheritedState:
    """Ask the daemon whose offer stands at `path`; TakeoverError where there is none."""
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(seconds)
    fds: list[int] = []
    try:
        sock.connect(str(path))
        head, fds, _, _ = socket.recv_fds(sock, 1 << 16, SOCKETS_MOST)
        box = json.loads(head)
        if "error" in box:
            raise HotRestartError(str(box["error"]))
        if box["version"] != VERSION or len(box["listeners"]) + 1 != len(fds):
            raise HotRestartError(f"version {box['version']!r}; this program knows {VERSION}")
        with os.fdopen(fds.pop(), "rb") as file:
            file.seek(0)
            learnt = file.read(LEARNT_MOST)
        found = {}
        for fd in fds:
            one = socket.socket(fileno=fd)
            one.setblocking(False)
            found[key_of(one)] = one
        return InheritedState(sock, int(box["pid"]), found, learnt, bool(box["store"]))
    except (OSError, ValueError, KeyError, HotRestartError) as problem:
        for fd in fds:
            with suppress(OSError):
                os.close(fd)
        sock.close()
        if isinstance(problem, HotRestartError):
            raise
        raise HotRestartError(f"{path}: {problem}") from None


def place(path: Path, listen: Callable[[tuple[str, int]], object], mode: int, over: bool) -> int:
    """Bind a Unix socket at `path` by way of a name of its own, so that a successor's takes the place of the old one at
    once. Its inode. OSError where somebody listens there, unless `over` says that this one follows them."""
    if not over and path.exists() and stat.S_ISSOCK(path.stat().st_mode):
        with socket.socket(socket.AF_UNIX) as probe, suppress(ConnectionRefusedError):
            probe.connect(str(path))
            raise OSError(f"{path}: another daemon listens there")
    new = path.with_name(f".{path.name}.{os.getpid()}")
    before = os.umask(0o777 & ~mode)  # never open to more, not for a moment
    try:
        listen((f"unix:{new}", 0))
    finally:
        os.umask(before)
    os.replace(new, path)
    return os.stat(path).st_ino
