"""Reads and checks a certificate chain and its key before they are used. Pure: the caller passes contents and times.

The checks: both can be read, the key belongs to the certificate, each certificate of the chain is signed by the next,
all are valid now, the key is strong enough, and the names that routes need are covered. A pair that fails any check is
never used.
"""

from __future__ import annotations

import datetime
from dataclasses import dataclass
from typing import Iterable, Sequence

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec, ed448, ed25519, rsa
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

from loadbalancer.tls.names import covers, is_name

#: Maximum size of a file.
MAX_FILE_BYTES = 1 << 20
#: Maximum number of certificates in a chain.
MAX_CHAIN_LENGTH = 10
MIN_RSA_BITS, MIN_EC_BITS = 2048, 224
#: Hashes that a signature may not use.
WEAK_HASHES = (hashes.MD5, hashes.SHA1)
#: Errors that the library raises for an unreadable certificate. It parses most fields only when they are accessed.
UNREADABLE = (
    ValueError,
    TypeError,
    UnsupportedAlgorithm,
    x509.InvalidVersion,
    x509.DuplicateExtension,
    x509.UnsupportedGeneralNameType,
)
#: Seconds before the expiry of a certificate at which a warning is logged.
WARN_S = (30 * 86400.0, 7 * 86400.0, 86400.0, 3600.0)


class PairError(ValueError):
    """Raised for a pair that can't be used; holds one message for each finding."""

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = list(problems)


@dataclass(frozen=True, slots=True)
class Pair:
    """Holds a pair that has passed all checks. `chain` and `key` are the bytes that were checked."""

    chain: bytes
    key: bytes
    names: tuple[str, ...]  # hosts and IP addresses
    not_before: float  # Unix seconds, for the whole chain
    not_after: float
    fingerprint: str  # SHA-256 of the first certificate
    issuer: str

    def __repr__(self) -> str:  # omits the key, which must not reach a log
        return f"Pair({', '.join(self.names)}, {self.fingerprint[:16]})"


def read_chain(data: bytes) -> list[x509.Certificate]:
    """Return the certificates of a file. Raises PairError if it holds none, too many, or one that can't be read."""
    if len(data) > MAX_FILE_BYTES:
        raise PairError([f"{len(data)} bytes; expected at most {MAX_FILE_BYTES}"])
    found = _read_certificates(data)
    if len(found) > MAX_CHAIN_LENGTH:
        raise PairError([f"holds {len(found)} certificates; a chain has at most {MAX_CHAIN_LENGTH}"])
    return found


def _read_certificates(data: bytes) -> list[x509.Certificate]:
    """Return all certificates of a file, with their fields parsed. Raises PairError if one can't be read."""
    try:
        found = x509.load_pem_x509_certificates(data)
    except UNREADABLE as problem:
        raise PairError([f"holds no certificate in PEM form ({problem})"]) from None
    for number, certificate in enumerate(found, 1):
        try:
            _read_fields(certificate)
        except UNREADABLE as problem:
            raise PairError([f"certificate {number} can't be read ({problem})"]) from None
    return found


def _read_fields(certificate: x509.Certificate) -> None:
    """Parse the fields that every certificate has. Raises one of UNREADABLE if that fails."""
    certificate.public_key()
    certificate.subject.rfc4514_string()
    certificate.issuer.rfc4514_string()
    certificate.not_valid_before_utc  # noqa: B018
    certificate.not_valid_after_utc  # noqa: B018


def read_pair(chain: bytes, key: bytes, now: float, required_names: Iterable[str] = ()) -> Pair:
    """Check a chain and its key at Unix time `now`, and return them as a pair. Raises PairError with all findings.

    `required_names`: names that the certificate must cover.
    """
    certificates = read_chain(chain)
    first = certificates[0]
    problems = [
        *_key_problems(first, key),
        *_chain_problems(certificates),
        *_time_problems(certificates, now),
    ]
    for certificate in certificates:
        problems += _strength_problems(certificate)
    names = names_of(first)
    if not names:
        problems.append("the certificate names no host in subjectAltName")
    missing = [required for required in required_names if not any(covers(name, required) for name in names)]
    if missing:
        problems.append(
            f"the certificate is for {', '.join(names) or 'no name'}, and not for {', '.join(missing)}"
        )
    if problems:
        raise PairError(problems)
    return Pair(
        chain,
        key,
        names,
        max(certificate.not_valid_before_utc.timestamp() for certificate in certificates),
        min(certificate.not_valid_after_utc.timestamp() for certificate in certificates),
        first.fingerprint(hashes.SHA256()).hex(),
        first.issuer.rfc4514_string(),
    )


def names_of(certificate: x509.Certificate) -> tuple[str, ...]:
    """Return the hosts and addresses that a certificate is for. The common name is not one of them (RFC 9525, 2)."""
    try:
        found = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except (x509.ExtensionNotFound, *UNREADABLE):
        return ()
    hosts = [name for name in found.get_values_for_type(x509.DNSName) if is_name(name)]
    return (*hosts, *(str(address) for address in found.get_values_for_type(x509.IPAddress)))


def _key_problems(first: x509.Certificate, key: bytes) -> list[str]:
    try:
        private = load_pem_private_key(key, None)
    except TypeError:
        return ["the key is encrypted; expected an unencrypted one, since a daemon can't ask for a password"]
    except (ValueError, UnsupportedAlgorithm):
        return ["the key can't be read: expected an unencrypted PEM key"]

    def encode(public: object) -> bytes:
        return public.public_bytes(Encoding.DER, PublicFormat.SubjectPublicKeyInfo)  # type: ignore[attr-defined,no-any-return]

    if encode(private.public_key()) != encode(first.public_key()):
        return ["the key is not the certificate's; expected the files of one pair"]
    return []


def _chain_problems(certificates: Sequence[x509.Certificate]) -> list[str]:
    for number, (certificate, issuer) in enumerate(zip(certificates, certificates[1:], strict=False)):
        try:
            certificate.verify_directly_issued_by(issuer)
        except (ValueError, TypeError, InvalidSignature):
            return [f"certificate {number + 1} of the chain is not signed by the next one"]
    return []


def _time_problems(certificates: Sequence[x509.Certificate], now: float) -> list[str]:
    problems = []
    for number, certificate in enumerate(certificates, 1):
        if certificate.not_valid_before_utc.timestamp() > now:
            problems.append(
                f"certificate {number} is not valid before {certificate.not_valid_before_utc:%Y-%m-%d %H:%M} UTC"
            )
        if certificate.not_valid_after_utc.timestamp() <= now:
            problems.append(
                f"certificate {number} has expired on {certificate.not_valid_after_utc:%Y-%m-%d %H:%M} UTC"
            )
    return problems


def _strength_problems(certificate: x509.Certificate) -> list[str]:
    public = certificate.public_key()
    if isinstance(public, rsa.RSAPublicKey) and public.key_size < MIN_RSA_BITS:
        return [f"an RSA key of {public.key_size} bits; expected at least {MIN_RSA_BITS}"]
    if isinstance(public, ec.EllipticCurvePublicKey) and public.curve.key_size < MIN_EC_BITS:
        return [f"a key on a curve of {public.curve.key_size} bits; expected at least {MIN_EC_BITS}"]
    if not isinstance(
        public, (rsa.RSAPublicKey, ec.EllipticCurvePublicKey, ed25519.Ed25519PublicKey, ed448.Ed448PublicKey)
    ):
        return ["a key of an unsupported kind; expected RSA, EC, Ed25519 or Ed448"]
    try:
        algorithm = certificate.signature_hash_algorithm
    except UnsupportedAlgorithm:
        return ["its signature algorithm is unknown"]
    self_signed = certificate.issuer == certificate.subject  # the signature of a root is not checked
    if isinstance(algorithm, WEAK_HASHES) and not self_signed:
        return [f"it is signed with {algorithm.name}, which is too weak"]
    return []


def subjects_of(der: bytes) -> tuple[str, ...]:
    """Return the names in a client's certificate: hosts, addresses, mail addresses and URIs, then common names.

    Returns none for a certificate that can't be read.
    """
    try:
        certificate = x509.load_der_x509_certificate(der)
        common_names = certificate.subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)
    except UNREADABLE:
        return ()
    found: list[str] = list(names_of(certificate))
    try:
        alternative = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        found += alternative.get_values_for_type(x509.RFC822Name) + alternative.get_values_for_type(
            x509.UniformResourceIdentifier
        )
    except (x509.ExtensionNotFound, *UNREADABLE):
        pass
    return (*found, *(str(common.value) for common in common_names))


def read_roots(data: bytes, now: float) -> int:
    """Return the number of certificates in a file of trust roots. Raises PairError if none of them is valid now."""
    try:
        found = x509.load_pem_x509_certificates(data) if b"BEGIN CERTIFICATE" in data else []
        valid = [
            root
            for root in found
            if root.not_valid_before_utc.timestamp() <= now < root.not_valid_after_utc.timestamp()
        ]
    except UNREADABLE as problem:
        raise PairError([f"holds a certificate that can't be read ({problem})"]) from None
    if not found:
        raise PairError(["holds no certificate in PEM form"])
    if not valid:
        raise PairError([f"none of its {len(found)} certificates is valid now"])
    return len(found)


def read_revoked(data: bytes) -> int:
    """Return the number of certificates in a list of revoked ones. Raises PairError if it is no such list."""
    try:
        return len(x509.load_pem_x509_crl(data))
    except UNREADABLE as problem:
        raise PairError([f"holds no list of revoked certificates in PEM form ({problem})"]) from None


def warn_level(not_after: float, now: float) -> int:
    """Return how many thresholds of WARN_S have been passed; each increase calls for a warning."""
    return sum(not_after - now <= threshold for threshold in WARN_S)


def describe_expiry(not_after: float, now: float) -> str:
    """Return, in words, when a certificate expires or has expired."""
    left_s = not_after - now
    when = datetime.datetime.fromtimestamp(not_after, datetime.UTC)
    if left_s <= 0:
        return f"has expired on {when:%Y-%m-%d %H:%M} UTC"
    span = f"{left_s / 86400:.0f} days" if left_s >= 2 * 86400 else f"{left_s / 3600:.0f} hours"
    return f"ends in {span}, on {when:%Y-%m-%d %H:%M} UTC"
