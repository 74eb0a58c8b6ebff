"""The fleet's keys: parsing of key files, and the numbers by which packets identify their key."""

from __future__ import annotations

from blake3 import blake3

from loadbalancer.fleet.errors import KeyFileError

KEY_BYTES = 32
#: Maximum number of valid keys: the first seals, both open. So a new key replaces an old one in two steps.
MAX_KEYS = 2


def key_number(key: bytes) -> int:
    """Return the number, 0 to 255, by which a packet identifies its key; two valid keys must not share it."""
    return blake3(b"number" + key).digest(1)[0]


def read_keys(text: str) -> list[bytes]:
    """Parse the text of a key file: a line of 64 hexadecimal digits for each key, the sealing key first.

    Empty lines and lines that begin with `#` are ignored.

    Raises:
        KeyFileError: There are too few or too many keys, a malformed key, or two keys with the same number.
    """
    lines = [line.strip() for line in text.splitlines()]
    lines = [line for line in lines if line and not line.startswith("#")]
    if not 1 <= len(lines) <= MAX_KEYS:
        raise KeyFileError(f"found {len(lines)} keys; expected 1 or {MAX_KEYS}, one per line")
    keys = [_read_key(number, line) for number, line in enumerate(lines, 1)]
    if len(keys) == MAX_KEYS and key_number(keys[0]) == key_number(keys[1]):
        raise KeyFileError(
            f"both keys have the number {key_number(keys[0])}; expected two that differ, generate another key"
        )
    return keys


def _read_key(number: int, line: str) -> bytes:
    try:
        key = bytes.fromhex(line)
    except ValueError:
        key = b""
    if len(key) != KEY_BYTES:
        raise KeyFileError(f"key {number} is not {2 * KEY_BYTES} hexadecimal digits")
    return key
