"""Keeps the certificates of a listener or a pool: reads and checks them, reloads changed files, warns of their expiry.

A change is loaded once two successive polls have seen the same files, so that a pair which is copied one file after the
other is read when both are complete. A pair that fails the checks leaves the one in use as it is, and is tried again
once a file changes. Open connections continue with the certificate that they began with.
"""

from __future__ import annotations

import ssl
import time
from pathlib import Path
from typing import Any, Callable, Generic, Mapping, NamedTuple, TypeVar

from loadbalancer.config.types import ListenerTlsTable, PairTable, PoolTlsTable
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.tls import files
from loadbalancer.tls.contexts import MemberContext, TrustStore, member_context, server_context
from loadbalancer.tls.names import NameTable, covers
from loadbalancer.tls.pairs import (
    Pair,
    PairError,
    describe_expiry,
    read_pair,
    read_revoked,
    read_roots,
    warn_level,
)
from loadbalancer.tls.verdicts import BY_CODE, HandshakeResults, Reason

#: Maximum number of members with a context, and so a TLS session, of their own; further ones share one context.
MAX_CONTEXTS = 2048
T = TypeVar("T")


class ServedCertificate(NamedTuple):
    """Describes a certificate in use, for operators."""

    file: str
    names: tuple[str, ...]
    not_after: float
    fingerprint: str


def load_pair(table: PairTable, base: Path, now: float) -> Pair:
    """Read and check a certificate chain and its key. Raises PairError with all findings."""
    chain, key = base / table.chain, base / table.key
    try:
        return read_pair(files.read(chain), files.read(key, True), now)
    except PairError as error:
        raise files.with_path(chain, error) from None


def load_trust(roots: list[str], revoked: str | None, base: Path, now: float) -> TrustStore:
    """Read and check trust roots and a list of revoked certificates. Raises PairError for the first file that fails."""
    root_files = []
    for name in roots:
        try:
            root_files.append(files.read(base / name))
            read_roots(root_files[-1], now)
        except PairError as error:
            raise files.with_path(base / name, error) from None
    revoked_list = b""
    if revoked is not None:
        try:
            revoked_list = files.read(base / revoked)
            read_revoked(revoked_list)
        except PairError as error:
            raise files.with_path(base / revoked, error) from None
    return TrustStore(root_files, revoked_list)


class WatchedFiles(Generic[T]):
    """Holds the value loaded from files, and loads it again when they change.

    The constructor may run outside of the event loop; everything else runs on it.
    """

    def __init__(
        self,
        paths: list[Path],
        load: Callable[[float], T],
        logger: RateLimitedLogger,
        owner: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Load the files. Raises PairError if they fail the checks. `clock`: Unix time in seconds."""
        self.paths, self._load, self.logger, self.owner, self._clock = paths, load, logger, owner, clock
        self._last_stamps = self._loaded_stamps = files.stamps(paths)
        self.value = load(clock())
        self.changes = 0  # changes that were loaded
        self.refused = ""  # why the files in their present state were rejected; empty if they were not

    def poll(self) -> bool:
        """Check the files; return whether they have changed and the new contents are in use."""
        stamps = files.stamps(self.paths)
        settled, self._last_stamps = stamps == self._last_stamps, stamps
        if not settled or stamps == self._loaded_stamps:
            return False
        self._loaded_stamps = stamps
        try:
            self.value = self._load(self._clock())
        except (PairError, ssl.SSLError, OSError) as problem:
            self.refused = str(problem)
            self.logger(f"keys not taken: {self.owner}", f"the previous ones stay in use: {problem}")
            return False
        self.changes, self.refused = self.changes + 1, ""
        self.logger(f"keys taken: {self.owner}", ", ".join(str(path.name) for path in self.paths))
        return True


class ExpiryWarnings:
    """Logs that certificates expire soon: once for each threshold of WARN_S, and once at the expiry."""

    def __init__(self, logger: RateLimitedLogger) -> None:
        self.logger = logger
        self._warned_levels: dict[str, int] = {}

    def check(self, certificates: list[ServedCertificate], now: float) -> None:
        for certificate in certificates:
            level = warn_level(certificate.not_after, now) + (certificate.not_after <= now)
            if level > self._warned_levels.get(certificate.fingerprint, 0):
                self.logger(
                    "a certificate ends",
                    f"{certificate.file} ({', '.join(certificate.names)}) "
                    f"{describe_expiry(certificate.not_after, now)}",
                )
            self._warned_levels[certificate.fingerprint] = level
        current = {certificate.fingerprint for certificate in certificates}
        self._warned_levels = {key: level for key, level in self._warned_levels.items() if key in current}


class ServerKeys:
    """Holds the certificates of one listener, and chooses the SSL context by server name.

    `poll` reloads changed files and renews the keys of session tickets.
    """

    def __init__(
        self,
        table: ListenerTlsTable,
        base: Path,
        required_names: list[str],
        logger: RateLimitedLogger,
        name: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Load the files. Raises PairError with all findings. `required_names`: names that a certificate must cover."""
        self.table, self._base, self._required_names, self._clock = table, base, required_names, clock
        paths = [base / name for pair in table.certificate for name in (pair.chain, pair.key)]
        paths += [base / root for root in table.client_roots]
        paths += [base / table.client_revoked] if table.client_revoked is not None else []
        self._context_created_at = clock()
        self._pairs: list[tuple[str, Pair]] = []
        self._trust: TrustStore | None = None
        self.watched = WatchedFiles(paths, self._load, logger, f"listener {name}", clock)
        self._warnings = ExpiryWarnings(logger)

    def _load(self, now: float) -> ssl.SSLContext:
        table = self.table
        pairs = [(pair.chain, load_pair(pair, self._base, now)) for pair in table.certificate]
        names = [name for _, pair in pairs for name in pair.names]
        missing = [
            required for required in self._required_names if not any(covers(name, required) for name in names)
        ]
        if missing:
            raise PairError(
                [
                    f"no certificate is for {', '.join(missing)}, which routes name; there are certificates for: "
                    f"{', '.join(names)}"
                ]
            )
        trust = None
        if table.clients != "none":
            trust = load_trust(table.client_roots, table.client_revoked, self._base, now)
        context = self._create_context(pairs, trust)
        self._pairs, self._trust, self._context_created_at = pairs, trust, now
        return context

    def _create_context(self, pairs: list[tuple[str, Pair]], trust: TrustStore | None) -> ssl.SSLContext:
        """Return the context for new handshakes, which switches to that of the server name that a client sends."""
        table = self.table
        contexts = [server_context(pair, table.minimum, table.clients, trust) for _, pair in pairs]
        by_name = NameTable(contexts[0])
        for (_, pair), context in zip(pairs, contexts, strict=True):
            by_name.add(pair.names, context)

        def choose(ssl_object: Any, name: str | None, current: ssl.SSLContext) -> None:
            found = by_name.find(name)
            if found is not current:  # switching costs a good part of a handshake
                ssl_object.context = found

        contexts[0].sni_callback = choose
        return contexts[0]

    @property
    def context(self) -> ssl.SSLContext:
        return self.watched.value

    def poll(self) -> None:
        """Reload changed files, renew the ticket keys and warn of expiry. Called a few times a second."""
        now = self._clock()
        if not self.watched.poll() and now - self._context_created_at >= float(self.table.ticket_life):
            self.watched.value = self._create_context(
                self._pairs, self._trust
            )  # invalidates tickets made with the old keys
            self._context_created_at = now
        self._warnings.check(self.certificates(), now)

    def certificates(self) -> list[ServedCertificate]:
        return [
            ServedCertificate(file, pair.names, pair.not_after, pair.fingerprint)
            for file, pair in self._pairs
        ]


class MemberKeys:
    """Holds the trust roots and the certificate of one pool, an SSL context for each member, and handshake results."""

    def __init__(
        self,
        table: PoolTlsTable,
        base: Path,
        logger: RateLimitedLogger,
        name: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.table, self._base, self._clock, self.logger = table, base, clock, logger
        paths = [base / root for root in table.roots]
        paths += [base / table.revoked] if table.revoked is not None else []
        if table.certificate is not None:
            paths += [base / table.certificate.chain, base / table.certificate.key]
        self.handshake_s = float(table.handshake_time)
        self.results = HandshakeResults()
        self._contexts: dict[str, MemberContext] = {}
        self._pair: Pair | None = None
        self.watched = WatchedFiles(paths, self._load, logger, f"pool {name}", clock)
        self._warnings = ExpiryWarnings(logger)

    def _load(self, now: float) -> TrustStore:
        table = self.table
        pair = load_pair(table.certificate, self._base, now) if table.certificate is not None else None
        trust = load_trust(table.roots, table.revoked, self._base, now)
        member_context(table.minimum, trust, pair)  # raises ssl.SSLError if OpenSSL rejects them
        self._pair = pair
        return trust

    def context(self, member: str) -> MemberContext:
        key = member if member in self._contexts or len(self._contexts) < MAX_CONTEXTS else ""
        found = self._contexts.get(key)
        if found is None:
            found = self._contexts[key] = member_context(self.table.minimum, self.watched.value, self._pair)
        return found

    def name_of(self, member: str, address: tuple[str, int]) -> str:
        """Return the name that a member's certificate must be for."""
        if self.table.name == "id":
            return member
        return address[0] if self.table.name == "address" else self.table.name

    def poll(self) -> None:
        if self.watched.poll():
            self._contexts.clear()
        self._warnings.check(self.certificates(), self._clock())

    def certificates(self) -> list[ServedCertificate]:
        pair, table = self._pair, self.table.certificate
        if pair is None or table is None:
            return []
        return [ServedCertificate(table.chain, pair.names, pair.not_after, pair.fingerprint)]

    def accepted(self, member: str, now: float) -> None:
        if self.results.accepted(member, now):
            self.logger("members' certificates", "are accepted again")

    def used(self, member: str, connection: Any) -> None:
        """Save the TLS session of a connection that has carried a request.

        A ticket arrives after the handshake, and with the first answer at the latest.
        """
        transport = getattr(connection, "transport", None)
        if transport is not None:
            self.context(member).save_session(transport.get_extra_info("ssl_object"))

    def failed(self, member: str, problem: BaseException | None, now: float) -> AttemptResult:
        """Log a failed handshake and its cause, and return the result of the attempt for the policy."""
        reason = reason_of(problem)
        result = self.results.failed(member, reason, now)
        if result == AttemptResult.NOT_SENT:
            text = (
                f"all fail for one reason, {reason.value}: our trust roots or our clock; no member is blamed"
            )
            self.logger("members' certificates", text)
        else:
            subject = "certificate of" if reason.is_of_certificates else "handshake with"
            self.logger(f"{subject} {member}", f"{reason.value}: {problem}")
        return result


#: Parts of OpenSSL's reasons for alerts that a member sends about our certificate.
CLIENT_CERTIFICATE_ALERTS = (
    "CERTIFICATE_REQUIRED",
    "ALERT_BAD_CERTIFICATE",
    "ALERT_UNKNOWN_CA",
    "ALERT_CERTIFICATE",
    "ALERT_NO_CERT",
)


def reason_of(problem: BaseException | None) -> Reason:
    """Return why a handshake failed, from the error that it raised."""
    if isinstance(problem, ssl.SSLCertVerificationError):
        return BY_CODE.get(problem.verify_code, Reason.UNKNOWN)
    if isinstance(problem, ssl.SSLError) and any(
        word in str(problem.reason) for word in CLIENT_CERTIFICATE_ALERTS
    ):
        return Reason.CLIENT
    return Reason.BROKEN


def summary(certificates: Mapping[str, list[ServedCertificate]], now: float) -> list[dict[str, Any]]:
    """Return a row for each certificate in use, the first to expire first."""
    rows = [
        {
            "where": where,
            "file": certificate.file,
            "names": list(certificate.names),
            "ends": describe_expiry(certificate.not_after, now),
            "fingerprint": certificate.fingerprint[:16],
            "until": certificate.not_after,
        }
        for where, served in certificates.items()
        for certificate in served
    ]
    rows.sort(key=lambda row: float(str(row["until"])))
    return [{key: value for key, value in row.items() if key != "until"} for row in rows]
