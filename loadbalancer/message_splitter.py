"""Splits the bytes of HTTP/1.1 messages behind each head and each body, and checks the lines between chunks.

The parser library skips the extensions of chunks without a look at them, and tells no offsets. So this module follows
the framing beside it, and the bytes are fed to the parser part by part. Pure: no I/O and no clock.
"""

from __future__ import annotations

from loadbalancer.http_grammar import MessageError, check_chunk_line

HEAD_END = b"\r\n\r\n"
MAX_CHUNK_LINE_BYTES = 4 << 10
"""Bytes of the size of a chunk with its extensions, at most."""
CHUNK_END_BYTES = 2
"""Bytes of the line end behind the data of a chunk."""


class ChunkedBody:
    """Follows one chunked body from its first byte to the end of its trailers."""

    __slots__ = ("_bytes_left", "_is_in_trailers", "_line", "is_complete")

    def __init__(self) -> None:
        """Expect the first chunk."""
        self._bytes_left = 0  # of the data of the current chunk, with its line end
        self._line = b""  # the beginning of a line that is incomplete
        self._is_in_trailers = False
        self.is_complete = False

    def follow(self, data: bytes) -> int:
        """Follow received bytes.

        Returns:
            The number of bytes that belong to the body; all, unless it is complete.

        Raises:
            MessageError: The size of a chunk, or an extension of it, is malformed.
        """
        at, size = 0, len(data)
        while at < size and not self.is_complete:
            if self._bytes_left:
                taken = min(self._bytes_left, size - at)
                self._bytes_left -= taken
                at += taken
                continue
            line_end = data.find(b"\n", at)
            if line_end < 0:
                self._keep_line(data[at:])
                return size
            line, self._line = self._line + data[at:line_end], b""
            at = line_end + 1
            self._read_line(line.removesuffix(b"\r"))
        return at

    def _keep_line(self, part: bytes) -> None:
        self._line += part
        if not self._is_in_trailers and len(self._line) > MAX_CHUNK_LINE_BYTES:
            raise MessageError("too many extensions of a chunk")

    def _read_line(self, line: bytes) -> None:
        if self._is_in_trailers:
            self.is_complete = not line
            return
        check_chunk_line(line)
        length = int(line.partition(b";")[0], 16)
        self._is_in_trailers = not length
        self._bytes_left = length + CHUNK_END_BYTES if length else 0


class MessageSplitter:
    """Splits the bytes of one connection; the parser's callback for a complete head calls `begin_body`."""

    __slots__ = ("_body_bytes_left", "_chunks", "_is_at_head_end", "_tail")

    def __init__(self) -> None:
        """Expect a head."""
        self._body_bytes_left = 0  # of a body whose length is stated
        self._chunks: ChunkedBody | None = None
        self._tail = b""  # the last bytes of an incomplete head
        self._is_at_head_end = False  # the latest part ends with a head

    def split(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the part of the bytes to be parsed next, and the rest.

        Raises:
            MessageError: A chunk is malformed.
        """
        if self._chunks is not None:
            end = self._chunks.follow(data)
            if self._chunks.is_complete:
                self._chunks = None
        elif self._body_bytes_left:
            end = min(self._body_bytes_left, len(data))
            self._body_bytes_left -= end
        else:
            end = self._find_head_end(data)
        return (data, b"") if end == len(data) else (data[:end], data[end:])

    def _find_head_end(self, data: bytes) -> int:
        """Return the offset behind the head, or behind what has come of it."""
        tail = self._tail
        found = (tail + data).find(HEAD_END) if tail else data.find(HEAD_END)
        self._is_at_head_end = found >= 0
        if found >= 0:
            self._tail = b""
            return found + len(HEAD_END) - len(tail)
        self._tail = (tail + data)[1 - len(HEAD_END) :]
        return len(data)

    def begin_body(self, length: int | None) -> None:
        """Expect a body behind the head that has been parsed; `length` in bytes, None for a chunked one.

        Raises:
            MessageError: The head did not end with an empty line.
        """
        if not self._is_at_head_end:
            raise MessageError("a head that does not end with an empty line")
        if length is None:
            self._chunks = ChunkedBody()
        else:
            self._body_bytes_left = length
