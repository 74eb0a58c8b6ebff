"""The keys of a listener or a pool in service: read, checked, served, watched, warned of.

A change counts once two looks have seen the same files, so that a pair which is copied one file after the other is read
when both are there; one that is not good then leaves what serves as it is, and is tried again once a file changes.
Connections that are open go on under what they began with.
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
from loadbalancer.tls.contexts import MemberContext, Trust, member_context, server_context
from loadbalancer.tls.names import Served, covers
from loadbalancer.tls.pairs import (
    Pair,
    PairError,
    left_words,
    read_pair,
    read_revoked,
    read_roots,
    warn_level,
)
from loadbalancer.tls.verdicts import BY_CODE, Reason, Verdicts

#: Members that have a context, and with it a session, of their own; further ones share one.
CONTEXTS_MOST = 2048
T = TypeVar("T")


class Held(NamedTuple):
    """A pair that serves, as operators see it."""

    file: str
    names: tuple[str, ...]
    not_after: float
    fingerprint: str


def read_one(table: PairTable, base: Path, now: float) -> Pair:
    chain, key = base / table.chain, base / table.key
    try:
        return read_pair(files.read(chain), files.read(key, True), now)
    except PairError as error:
        raise files.named(chain, error) from None


def read_trust(roots: list[str], revoked: str | None, base: Path, now: float) -> Trust:
    found = []
    for name in roots:
        try:
            found.append(files.read(base / name))
            read_roots(found[-1], now)
        except PairError as error:
            raise files.named(base / name, error) from None
    taken_back = b""
    if revoked is not None:
        try:
            taken_back = files.read(base / revoked)
            read_revoked(taken_back)
        except PairError as error:
            raise files.named(base / revoked, error) from None
    return Trust(found, taken_back)


class Watched(Generic[T]):
    """What files hold, once it is good. `load` may run off the loop; all else is of the loop."""

    def __init__(
        self,
        paths: list[Path],
        load: Callable[[float], T],
        logger: RateLimitedLogger,
        what: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """PairError where the files are not good at the start. `clock`: Unix time in seconds."""
        self.paths, self._load, self.logger, self.what, self._clock = paths, load, logger, what, clock
        self._seen = self._taken = files.stamps(paths)
        self.value = load(clock())
        self.changes = 0  # that were taken
        self.refused = ""  # why the files as they are now do not serve

    def look(self) -> bool:
        """Whether the files have changed, and what they hold now serves."""
        now = files.stamps(self.paths)
        settled, self._seen = now == self._seen, now
        if not settled or now == self._taken:
            return False
        self._taken = now
        try:
            self.value = self._load(self._clock())
        except (PairError, ssl.SSLError, OSError) as problem:
            self.refused = str(problem)
            self.logger(f"keys not taken: {self.what}", f"what served before goes on: {problem}")
            return False
        self.changes, self.refused = self.changes + 1, ""
        self.logger(f"keys taken: {self.what}", ", ".join(str(path.name) for path in self.paths))
        return True


class Warnings:
    """Says ahead of time that certificates end: once at each mark."""

    def __init__(self, logger: RateLimitedLogger) -> None:
        self.logger = logger
        self._told: dict[str, int] = {}

    def look(self, held: list[Held], now: float) -> None:
        for one in held:
            level = warn_level(one.not_after, now) + (one.not_after <= now)
            if level > self._told.get(one.fingerprint, 0):
                self.logger(
                    "a certificate ends",
                    f"{one.file} ({', '.join(one.names)}) {left_words(one.not_after, now)}",
                )
            self._told[one.fingerprint] = level
        there = {one.fingerprint for one in held}
        self._told = {key: level for key, level in self._told.items() if key in there}


class ServerKeys:
    """Of one listener: which context serves which name. `renew` makes the keys of session tickets anew."""

    def __init__(
        self,
        table: ListenerTlsTable,
        base: Path,
        wanted: list[str],
        logger: RateLimitedLogger,
        name: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """PairError with what is wrong. `wanted`: names that some pair must be for."""
        self.table, self._base, self._wanted, self._clock = table, base, wanted, clock
        paths = [base / one for pair in table.certificate for one in (pair.chain, pair.key)]
        paths += [base / root for root in table.client_roots]
        paths += [base / table.client_revoked] if table.client_revoked is not None else []
        self._made_at = clock()
        self._pairs: list[tuple[str, Pair]] = []
        self._trust: Trust | None = None
        self.watched = Watched(paths, self._load, logger, f"listener {name}", clock)
        self._warnings = Warnings(logger)

    def _load(self, now: float) -> ssl.SSLContext:
        table = self.table
        pairs = [(pair.chain, read_one(pair, self._base, now)) for pair in table.certificate]
        names = [name for _, pair in pairs for name in pair.names]
        missing = [want for want in self._wanted if not any(covers(name, want) for name in names)]
        if missing:
            raise PairError(
                [
                    f"no certificate is for {', '.join(missing)}, which routes want; there are: "
                    f"{', '.join(names)}"
                ]
            )
        trust = None
        if table.clients != "none":
            trust = read_trust(table.client_roots, table.client_revoked, self._base, now)
        made = self._make(pairs, trust)
        self._pairs, self._trust, self._made_at = pairs, trust, now
        return made

    def _make(self, pairs: list[tuple[str, Pair]], trust: Trust | None) -> ssl.SSLContext:
        """The context that handshakes begin with; it hands over to the one of the name that the client gives."""
        table = self.table
        made = [server_context(pair, table.minimum, table.clients, trust) for _, pair in pairs]
        served = Served(made[0])
        for (_, pair), context in zip(pairs, made, strict=True):
            served.add(pair.names, context)

        def choose(ssl_object: Any, name: str | None, now: ssl.SSLContext) -> None:
            found = served.find(name)
            if found is not now:  # handing over costs a good part of a handshake
                ssl_object.context = found

        made[0].sni_callback = choose
        return made[0]

    @property
    def context(self) -> ssl.SSLContext:
        return self.watched.value

    def look(self) -> None:
        """Files, tickets and dates; a few times a second."""
        now = self._clock()
        if not self.watched.look() and now - self._made_at >= float(self.table.ticket_life):
            self.watched.value = self._make(
                self._pairs, self._trust
            )  # tickets of the old keys are of no use any more
            self._made_at = now
        self._warnings.look(self.held(), now)

    def held(self) -> list[Held]:
        return [Held(file, pair.names, pair.not_after, pair.fingerprint) for file, pair in self._pairs]


class MemberKeys:
    """Of one pool: a context for each member, and what failed handshakes mean."""

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
        self.verdicts = Verdicts()
        self._contexts: dict[str, MemberContext] = {}
        self._pair: Pair | None = None
        self.watched = Watched(paths, self._load, logger, f"pool {name}", clock)
        self._warnings = Warnings(logger)

    def _load(self, now: float) -> Trust:
        table = self.table
        pair = read_one(table.certificate, self._base, now) if table.certificate is not None else None
        trust = read_trust(table.roots, table.revoked, self._base, now)
        member_context(table.minimum, trust, pair)  # OpenSSL takes them too
        self._pair = pair
        return trust

    def context(self, member: str) -> MemberContext:
        key = member if member in self._contexts or len(self._contexts) < CONTEXTS_MOST else ""
        found = self._contexts.get(key)
        if found is None:
            found = self._contexts[key] = member_context(self.table.minimum, self.watched.value, self._pair)
        return found

    def name_of(self, member: str, address: tuple[str, int]) -> str:
        """The name that a member's certificate must be for."""
        if self.table.name == "id":
            return member
        return address[0] if self.table.name == "address" else self.table.name

    def look(self) -> None:
        if self.watched.look():
            self._contexts.clear()
        self._warnings.look(self.held(), self._clock())

    def held(self) -> list[Held]:
        pair, table = self._pair, self.table.certificate
        if pair is None or table is None:
            return []
        return [Held(table.chain, pair.names, pair.not_after, pair.fingerprint)]

    # What handshakes come to.

    def accepted(self, member: str, now: float) -> None:
        if self.verdicts.accepted(member, now):
            self.logger("members' certificates", "are accepted again")

    def used(self, member: str, connection: Any) -> None:
        """Its session may be offered again: tickets come behind the handshake, and with the first answer at the
        latest."""
        transport = getattr(connection, "transport", None)
        if transport is not None:
            self.context(member).note(transport.get_extra_info("ssl_object"))

    def failed(self, member: str, problem: BaseException | None, now: float) -> AttemptResult:
        """What the module hears; the log hears whose fault it is."""
        reason = reason_of(problem)
        result = self.verdicts.failed(member, reason, now)
        if result == AttemptResult.NOT_SENT:
            text = (
                f"all fail for one reason, {reason.value}: our trust roots or our clock; no member is blamed"
            )
            self.logger("members' certificates", text)
        else:
            what = "certificate of" if reason.is_of_certificates else "handshake with"
            self.logger(f"{what} {member}", f"{reason.value}: {problem}")
        return result


#: OpenSSL's words for alerts that a member sends about our certificate.
ABOUT_OURS = (
    "CERTIFICATE_REQUIRED",
    "ALERT_BAD_CERTIFICATE",
    "ALERT_UNKNOWN_CA",
    "ALERT_CERTIFICATE",
    "ALERT_NO_CERT",
)


def reason_of(problem: BaseException | None) -> Reason:
    if isinstance(problem, ssl.SSLCertVerificationError):
        return BY_CODE.get(problem.verify_code, Reason.UNKNOWN)
    if isinstance(problem, ssl.SSLError) and any(word in str(problem.reason) for word in ABOUT_OURS):
        return Reason.CLIENT
    return Reason.BROKEN


def summary(held: Mapping[str, list[Held]], now: float) -> list[dict[str, Any]]:
    """For `status`: each certificate that serves, the first to end first."""
    rows = [
        {
            "where": where,
            "file": one.file,
            "names": list(one.names),
            "ends": left_words(one.not_after, now),
            "fingerprint": one.fingerprint[:16],
            "until": one.not_after,
        }
        for where, those in held.items()
        for one in those
    ]
    rows.sort(key=lambda row: float(str(row["until"])))
    return [{key: value for key, value in row.items() if key != "until"} for row in rows]
