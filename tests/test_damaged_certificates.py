"""Tests of certificate files with unreadable fields: they are refused with a message, and the old pair stays in use."""

from __future__ import annotations

import base64
import random
import time
from pathlib import Path
from typing import Any, Callable

import certs
import pytest
from cryptography import x509
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat

from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.tls import files
from loadbalancer.tls.keeper import WatchedFiles
from loadbalancer.tls.pairs import PairError, read_pair, read_revoked, read_roots, subjects_of

#: Number of files with one random damaged byte, for each kind of file.
RANDOM_CASES = 400
EC_POINT_BYTES = 65
PRINTABLE = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"


def issued() -> Any:
    return certs.authority().issue("shop.test", ends=20_000)


def first_der(chain: bytes) -> bytes:
    return x509.load_pem_x509_certificates(chain)[0].public_bytes(Encoding.DER)


def in_pem(der: bytes) -> bytes:
    return b"-----BEGIN CERTIFICATE-----\n%b-----END CERTIFICATE-----\n" % base64.encodebytes(der)


def replace_first(der: bytes, old: bytes, new: bytes) -> bytes:
    assert old in der and len(old) == len(new)
    return der.replace(old, new, 1)


def damage_key(der: bytes) -> bytes:
    """Replace the key by a point that is not on the curve."""
    key = x509.load_der_x509_certificate(der).public_key()
    point = key.public_bytes(Encoding.X962, PublicFormat.UncompressedPoint)
    assert len(point) == EC_POINT_BYTES
    return replace_first(der, point, point[:-1] + bytes((point[-1] ^ 1,)))


def damage_curve(der: bytes) -> bytes:
    """Replace P-256 by an unknown curve."""
    return replace_first(der, bytes.fromhex("2a8648ce3d030107"), bytes.fromhex("2a8648ce3d03017f"))


def damage_issuer(der: bytes) -> bytes:
    """Replace the issuer's name by bytes that are not UTF-8."""
    certificate = x509.load_der_x509_certificate(der)
    name = certificate.issuer.get_attributes_for_oid(x509.NameOID.COMMON_NAME)[0].value
    assert isinstance(name, str)
    return replace_first(der, name.encode(), b"\xff" * len(name))


def damage_version(der: bytes) -> bytes:
    return replace_first(der, bytes.fromhex("a003020102"), bytes.fromhex("a003020156"))


DAMAGES: list[Callable[[bytes], bytes]] = [damage_key, damage_curve, damage_issuer, damage_version]


# Guards against fields that the library parses only on access, so that its own error escapes the checks.
@pytest.mark.parametrize("damage", DAMAGES)
def test_an_unreadable_field_raises_pair_error(damage: Callable[[bytes], bytes]) -> None:
    pair = issued()
    with pytest.raises(PairError, match="certificate"):
        read_pair(in_pem(damage(first_der(pair.chain))), pair.key, time.time())


# Guards against a damaged file that is not reported to operators.
@pytest.mark.parametrize("damage", DAMAGES)
def test_a_damaged_file_is_refused_and_the_next_valid_one_is_loaded(
    damage: Callable[[bytes], bytes], tmp_path: Path
) -> None:
    first, second = issued(), issued()
    path = tmp_path / "chain.pem"
    path.write_bytes(first.chain)
    keys = {first.chain: first.key, second.chain: second.key}

    def load(now: float) -> str:
        chain = files.read(path)
        return read_pair(chain, keys.get(chain, first.key), now).fingerprint

    def write(chain: bytes) -> None:
        path.write_bytes(chain)
        watched.poll()  # detects the change
        watched.poll()  # the file has not changed since

    watched = WatchedFiles([path], load, RateLimitedLogger(), "pair")
    before = watched.value
    write(in_pem(damage(first_der(first.chain))))
    assert watched.value == before and watched.refused
    write(second.chain)
    assert watched.value != before and not watched.refused


# Guards against errors of the library that reach the readers of certificate files or a client's handshake.
def test_random_damage_raises_pair_error_or_is_accepted() -> None:
    source = random.Random(1)
    now = time.time()
    pair, authority = issued(), certs.authority()
    revoked = authority.revoked([5, 6])
    der = first_der(pair.chain)
    for _ in range(RANDOM_CASES):
        for read, data in (
            (lambda chain: read_pair(chain, pair.key, now), pair.chain),
            (lambda roots: read_roots(roots, now), authority.pem),
            (read_revoked, revoked),
        ):
            place = source.randrange(len(data))
            damaged = data[:place] + bytes((source.choice(PRINTABLE),)) + data[place + 1 :]
            try:
                read(damaged)
            except PairError:
                continue
        place = source.randrange(len(der))
        assert isinstance(subjects_of(der[:place] + source.randbytes(1) + der[place + 1 :]), tuple)
