"""A small certificate authority for tests and demos. Not for production: its key is stored beside the pairs."""

from __future__ import annotations

import datetime
import ipaddress
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Sequence

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat

Key = ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey
DAY = datetime.timedelta(days=1)


def pem_of(key: Key) -> bytes:
    return key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())


@dataclass(frozen=True)
class Issued:
    """Holds an issued certificate and its key, in PEM form."""

    chain: bytes
    key: bytes
    serial: int


class Authority:
    """Issues certificates, also invalid ones for tests."""

    def __init__(self, name: str = "micastand demo", days: float = 3650.0) -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        now = datetime.datetime.now(datetime.UTC)
        self.certificate = (
            x509.CertificateBuilder()
            .subject_name(self.name)
            .issuer_name(self.name)
            .public_key(self.key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + days * DAY)
            .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
            .add_extension(
                x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True
            )
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(self.key.public_key()), critical=False)
            .sign(self.key, hashes.SHA256())
        )

    @property
    def pem(self) -> bytes:
        return self.certificate.public_bytes(Encoding.PEM)

    def issue(
        self, *names: str, begins: float = -1.0, ends: float = 90.0, bits: int = 0, common: str | None = None
    ) -> Issued:
        """Issue a certificate for these names.

        `begins`, `ends`: days from now. `bits`: size of an RSA key, or 0 for a key on P-256. `common`: the common name,
        by default the first name.
        """
        key: Key = (
            rsa.generate_private_key(public_exponent=65537, key_size=bits)
            if bits
            else ec.generate_private_key(ec.SECP256R1())
        )
        now = datetime.datetime.now(datetime.UTC)
        subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, common or names[0])])
        serial = x509.random_serial_number()
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(serial)
            .not_valid_before(now + begins * DAY)
            .not_valid_after(now + ends * DAY)
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(self.key.public_key()), critical=False
            )
        )
        if names:
            builder = builder.add_extension(
                x509.SubjectAlternativeName([_general_name(name) for name in names]), critical=False
            )
        certificate = builder.sign(self.key, hashes.SHA256())
        return Issued(certificate.public_bytes(Encoding.PEM), pem_of(key), serial)

    def revoked(self, serials: Sequence[int]) -> bytes:
        """Return a list that revokes the certificates with these serial numbers, in PEM form."""
        now = datetime.datetime.now(datetime.UTC)
        builder = x509.CertificateRevocationListBuilder().issuer_name(self.name)
        builder = builder.last_update(now - DAY).next_update(now + 30 * DAY)
        for serial in serials:
            builder = builder.add_revoked_certificate(
                x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(now - DAY).build()
            )
        return builder.sign(self.key, hashes.SHA256()).public_bytes(Encoding.PEM)


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)


def write_private(path: Path, data: bytes) -> None:
    """Write a file atomically, readable only by its owner."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with os.fdopen(fd, "wb") as file:
        file.write(data)
    os.replace(temporary, path)


def write_pair(folder: Path, stem: str, issued: Issued) -> tuple[Path, Path]:
    """Write a certificate and its key; return the paths of the two files."""
    chain, key = folder / f"{stem}.pem", folder / f"{stem}.key"
    write_private(key, issued.key)
    write_private(chain, issued.chain)
    return chain, key
