"""The fleet's keys: how a key file is read, and how a packet names the key that it was sealed with."""

from __future__ import annotations

from blake3 import blake3

from loadbalancer.fleet.errors import KeyFileError

KEY_BYTES = 32
#: Keys that are valid at once: the first seals, both open. A new key replaces an old one in two steps that way.
MAX_KEYS = 2


def key_number(key: bytes) -> int:
    """The number, 0 to 255, by which a packet names its key; two keys that are valid at once must not share it."""
    return blake3(b"number" + key).digest(1)[0]


def read_keys(text: str) -> list[bytes]:
    """Read the text of a key file: a line of 64 hexadecimal digits for each key, the sealing one first.

    Empty lines and lines that begin with `#` are passed over.

    Raises:
        KeyFileError: Too few or too many keys, one that is malformed, or two with the same number.
    """
    lines = [line.strip() for line in text.splitlines()]
    lines = [line for line in lines if line and not line.startswith("#")]
    if not 1 <= len(lines) <= MAX_KEYS:
        raise KeyFileError(f"{len(lines)} keys; 1 or {MAX_KEYS} are wanted, a line each")
    keys = [_read_key(number, line) for number, line in enumerate(lines, 1)]
    if len(keys) == MAX_KEYS and key_number(keys[0]) == key_number(keys[1]):
        raise KeyFileError("the two keys can't be told apart by their numbers; make another")
    return keys


def _read_key(number: int, line: str) -> bytes:
    try:
        key = bytes.fromhex(line)
    except ValueError:
        key = b""
    if len(key) != KEY_BYTES:
        raise KeyFileError(f"key {number} is not {2 * KEY_BYTES} hexadecimal digits")
    return key
