"""Tests of TLS without sockets: certificates by name, limits on handshakes, failed handshakes with members, and the
checks and reloads of certificates."""

from __future__ import annotations

import os
import random
from pathlib import Path
from typing import Any

import certs
import pytest
from daemons import RecordingLogger
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.config.types import Duration, ListenerTlsTable, PairTable, PoolTlsTable
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.tls.demo import Authority, write_pair, write_private
from loadbalancer.tls.handshakes import HandshakeLimits, HandshakeRequest, Handshakes
from loadbalancer.tls.keeper import (
    ExpiryWarnings,
    MemberKeys,
    ServedCertificate,
    ServerKeys,
    reason_of,
    summary,
)
from loadbalancer.tls.names import NameTable, covers, is_name
from loadbalancer.tls.pairs import (
    WARN_S,
    PairError,
    describe_expiry,
    read_pair,
    read_revoked,
    read_roots,
    subjects_of,
)
from loadbalancer.tls.verdicts import WINDOW_S, HandshakeResults, Reason

# Names.


@pytest.mark.parametrize(
    "pattern, name, expected",
    [("shop.test", "SHOP.test.", True), ("*.shop.test", "a.shop.test", True), ("*.shop.test", "a.b.shop.test", False),
     ("*.shop.test", "shop.test", False), ("*.shop.test", ".shop.test", False), ("*.shop.test", "*.shop.test", True),
     ("shop.test", "a.shop.test", False)],
)  # fmt: skip
def test_a_certificate_covers_its_names_and_one_label_of_a_wildcard(
    pattern: str, name: str, expected: bool
) -> None:
    assert covers(pattern, name) == expected


def test_an_exact_name_precedes_a_wildcard_and_any_other_name_gets_the_default() -> None:
    names = NameTable("default")
    names.add(["*.shop.test", "shop.test"], "shop")
    names.add(["a.shop.test"], "a")
    names.add(["shop.test"], "second")
    expected: dict[Any, str] = {
        "shop.test": "shop",
        "A.shop.test.": "a",
        "b.shop.test": "shop",
        "x.b.shop.test": "default",
        None: "default",
        "": "default",
        "a" * 70_000: "default",
        "a\0.shop.test": "shop",
        "\0": "default",
        ".": "default",
    }
    assert {name: names.find(name) for name in expected} == expected
    assert names.names() == ["*.shop.test", "a.shop.test", "shop.test"]


@pytest.mark.parametrize(
    "name", ["", ".", "a..b", "a\0b", "a b", "x" * 64 + ".test", "é.test", "*", "a.*.test", "a/b"]
)
def test_an_invalid_host_name_is_recognized(name: str) -> None:
    assert not is_name(name)


# Handshakes.


class RecordedHandshakes:
    """Handshakes of one listener, and the result of each."""

    def __init__(self, **limits: Any) -> None:
        self.handshakes = Handshakes(HandshakeLimits(**limits))
        self.begun: list[str] = []
        self.dropped: dict[str, str] = {}
        self.requests: dict[str, HandshakeRequest] = {}

    def submit(self, name: str, now: float, address: str = "", known: bool = False) -> None:
        request = HandshakeRequest(
            address or name,
            known,
            now,
            lambda: self.begun.append(name),
            lambda reason: self.dropped.__setitem__(name, reason),
        )
        self.requests[name] = request
        self.handshakes.submit(request, now)

    def end(self, name: str, now: float) -> None:
        self.handshakes.finish(self.requests[name], now)


def test_concurrent_handshakes_are_limited_and_known_clients_then_the_newest_go_first() -> None:
    recorded = RecordedHandshakes(max_concurrent=2)
    for name in "abcd":
        recorded.submit(name, 0.0)
    recorded.submit("known", 0.1, known=True)
    assert recorded.begun == ["a", "b"] and recorded.handshakes.waiting == 3
    recorded.end("a", 0.2)
    recorded.end("b", 0.2)
    assert recorded.begun == ["a", "b", "known", "d"]
    recorded.end("known", 0.3)
    assert recorded.begun[-1] == "c" and recorded.handshakes.under_way == 2


def test_unknown_clients_that_never_finish_leave_slots_for_known_clients() -> None:
    recorded = RecordedHandshakes(max_concurrent=16, max_per_address=100, per_s=1000.0)
    for number in range(40):
        recorded.submit(f"s{number}", 0.0)
    assert len(recorded.begun) == 14
    for number in range(3):
        recorded.submit(f"k{number}", 0.1, known=True)
    assert recorded.begun[14:] == ["k0", "k1"]
    recorded.end("k0", 0.2)
    assert recorded.begun[-1] == "k2" and recorded.handshakes.unknown_under_way == 14


def test_the_rate_limit_holds_for_unknown_clients_only() -> None:
    recorded = RecordedHandshakes(max_concurrent=1000, per_s=10.0, max_waiting=1000)
    for number in range(100):
        recorded.submit(f"s{number}", 0.0)
    for number in range(50):
        recorded.submit(f"k{number}", 0.0, known=True)
    assert len(recorded.begun) == 60
    wait_s = recorded.handshakes.schedule(0.0)
    assert wait_s is not None and wait_s == pytest.approx(0.1)
    for step in range(1, 101):
        recorded.handshakes.schedule(step / 100)
    assert 69 <= len(recorded.begun) <= 70


def test_handshakes_of_one_unknown_address_are_limited() -> None:
    recorded = RecordedHandshakes(max_concurrent=1, max_per_address=3)
    for number in range(5):
        recorded.submit(f"x{number}", 0.0, "10.0.0.1")
    recorded.submit("other", 0.0, "10.0.0.2")
    assert set(recorded.dropped) == {"x3", "x4"} and "of one address" in recorded.dropped["x3"]
    recorded.end("x0", 0.1)
    recorded.submit("x5", 0.2, "10.0.0.1")
    assert "x5" not in recorded.dropped
    recorded.submit("known", 0.2, "10.0.0.1", known=True)
    assert "known" not in recorded.dropped


def test_a_handshake_that_waits_too_long_or_exceeds_the_queue_is_dropped_once() -> None:
    recorded = RecordedHandshakes(max_concurrent=1, max_waiting=2, max_wait_s=1.0)
    for name in "abcd":
        recorded.submit(name, 0.0)
    assert list(recorded.dropped) == ["b"] and "wait" in recorded.dropped["b"]
    wait_s = recorded.handshakes.schedule(0.5)
    assert wait_s == pytest.approx(0.5)
    assert recorded.handshakes.schedule(1.0) is None
    assert set(recorded.dropped) == {"b", "c", "d"}
    for name in "abcd":
        recorded.end(name, 1.1)
    assert recorded.handshakes.under_way == recorded.handshakes.waiting == 0


def test_a_burst_after_a_restart_is_worked_off_and_all_counts_return_to_zero() -> None:
    """All known clients among 2000 simultaneous handshakes are served, and the counts return to zero."""
    recorded, draws, now = (
        RecordedHandshakes(
            max_concurrent=32, per_s=200.0, max_per_address=16, max_waiting=512, max_wait_s=2.5
        ),
        random.Random(3),
        0.0,
    )
    for number in range(2000):
        recorded.submit(f"n{number}", now, f"10.0.{number % 200}.1", known=number % 10 == 0)
    under_way = list(recorded.begun)
    while recorded.handshakes.under_way or recorded.handshakes.waiting:
        now += 0.005
        for name in draws.sample(under_way, min(4, len(under_way))):
            recorded.end(name, now)
        recorded.handshakes.schedule(now)
        under_way = [name for name in recorded.begun if not recorded.requests[name].finished]
        assert recorded.handshakes.under_way <= 32 and now < 60
    assert all(f"n{number}" in recorded.begun for number in range(0, 2000, 10))
    assert len(recorded.begun) + len(recorded.dropped) == 2000 and not recorded.handshakes._by_address


HANDSHAKE_STEPS = st.lists(
    st.tuples(st.sampled_from("wel"), st.integers(0, 5), st.floats(0.0, 1.0)), max_size=80
)


@given(HANDSHAKE_STEPS)
def test_every_handshake_begins_or_is_dropped_and_is_counted_once(
    steps: list[tuple[str, int, float]],
) -> None:
    recorded, now, number = (
        RecordedHandshakes(max_concurrent=2, per_s=3.0, max_per_address=2, max_waiting=3, max_wait_s=1.5),
        0.0,
        0,
    )
    for action, value, wait_s in steps:
        now += wait_s
        if action == "w":
            number += 1
            recorded.submit(f"n{number}", now, f"10.0.0.{value}", known=value == 0)
        elif action == "e" and recorded.begun:
            recorded.end(recorded.begun[value % len(recorded.begun)], now)
        else:
            recorded.handshakes.schedule(now)
        assert 0 <= recorded.handshakes.under_way <= 2 and recorded.handshakes.waiting <= 3
    for name in list(recorded.requests):
        recorded.end(name, now)
    assert (
        recorded.handshakes.under_way == recorded.handshakes.waiting == 0
        and not recorded.handshakes._by_address
    )
    assert len(set(recorded.begun)) == len(recorded.begun) and not set(recorded.begun) & set(recorded.dropped)


# Results of handshakes with members.


def test_one_failing_member_is_at_fault_and_if_all_fail_the_proxy_is() -> None:
    results = HandshakeResults()
    for name in "abcd":
        results.accepted(name, 0.0)
    assert (
        results.failed("a", Reason.EXPIRED, 1.0) == AttemptResult.NO_CONNECTION
        and results.common_failure is None
    )
    assert results.failed("b", Reason.EXPIRED, 1.1) == AttemptResult.NO_CONNECTION
    assert results.failed("c", Reason.EXPIRED, 1.2) == AttemptResult.NO_CONNECTION
    assert (
        results.failed("d", Reason.EXPIRED, 1.3) == AttemptResult.NOT_SENT
        and results.common_failure is Reason.EXPIRED
    )
    assert results.failed("a", Reason.EXPIRED, 1.4) == AttemptResult.NOT_SENT
    assert results.accepted("b", 1.5) and results.common_failure is None
    assert results.failed("a", Reason.EXPIRED, 1.6) == AttemptResult.NO_CONNECTION


def test_different_reasons_and_aborted_handshakes_are_faults_of_the_members() -> None:
    results = HandshakeResults()
    for name, reason in zip(
        "abcd", (Reason.EXPIRED, Reason.NAME, Reason.UNKNOWN, Reason.BROKEN), strict=True
    ):
        assert results.failed(name, reason, 1.0) == AttemptResult.NO_CONNECTION
    for name in "abcd":
        assert results.failed(name, Reason.BROKEN, 2.0) == AttemptResult.NO_CONNECTION
    assert results.common_failure is None


def test_a_single_member_is_at_fault_and_old_failures_do_not_count() -> None:
    results = HandshakeResults()
    assert results.failed("a", Reason.UNKNOWN, 1.0) == AttemptResult.NO_CONNECTION
    assert results.failed("b", Reason.UNKNOWN, 2.0 + WINDOW_S) == AttemptResult.NO_CONNECTION
    results.remove("a")
    assert results.failed("b", Reason.UNKNOWN, 3.0 + WINDOW_S) == AttemptResult.NO_CONNECTION


def test_errors_of_a_handshake_map_to_reasons() -> None:
    import ssl

    expired = ssl.SSLCertVerificationError("x")
    expired.verify_code = 10
    assert reason_of(expired) is Reason.EXPIRED
    alert = ssl.SSLError(1, "x")
    alert.reason = "TLSV1_ALERT_UNKNOWN_CA"
    assert reason_of(alert) is Reason.CLIENT
    assert reason_of(ConnectionResetError()) is Reason.BROKEN and reason_of(None) is Reason.BROKEN


# Pairs.

NOW = 1e9


def issue(*names: str, **options: Any) -> Any:
    return certs.authority().issue(*(names or (certs.HOST,)), **options)


def test_a_valid_pair_is_read_with_its_names_and_expiry() -> None:
    import time

    issued, now = certs.authority().issue("*.shop.test", "10.0.0.1"), time.time()
    pair = read_pair(issued.chain, issued.key, now, ["a.shop.test", "10.0.0.1"])
    assert pair.names == ("*.shop.test", "10.0.0.1") and abs(pair.not_after - now - 90 * 86400) < 60
    assert issued.key.decode().split("\n")[1] not in repr(pair)


@pytest.mark.parametrize(
    "options, message",
    [
        ({"ends": -0.5}, "has expired"),
        ({"begins": 1.0}, "not valid before"),
        ({"bits": 1024}, "RSA key of 1024 bits"),
    ],
)
def test_an_invalid_pair_is_refused_with_the_reason(options: dict[str, Any], message: str) -> None:
    import time

    issued = issue(**options)
    with pytest.raises(PairError, match=message):
        read_pair(issued.chain, issued.key, time.time())


def test_all_findings_are_reported_at_once() -> None:
    import time

    one, other = issue(ends=-0.5), issue()
    with pytest.raises(PairError) as caught:
        read_pair(one.chain, other.key, time.time(), ["else.test"])
    assert len(caught.value.problems) == 3 and "not the certificate's" in str(caught.value)


def test_unusable_chains_and_keys_are_refused() -> None:
    import time

    now, issued, roots = time.time(), issue(), certs.authority().pem
    read_pair(issued.chain + roots, issued.key, now)
    for chain, key, message in (
        (issued.chain + certs.untrusted_authority().pem, issued.key, "not signed by the next"),
        (b"nonsense", issued.key, "no certificate"),
        (issued.chain, b"nonsense", "key can't be read"),
        (issued.chain * 11, issued.key, "at most 10"),
        (b"x" * (2 << 20), issued.key, "at most"),
    ):
        with pytest.raises(PairError, match=message):
            read_pair(chain, key, now)


@given(st.binary(max_size=60), st.integers(0, 400))
def test_a_damaged_chain_is_refused_or_still_valid(replacement: bytes, offset: int) -> None:
    issued = _long_lived_pair()
    damaged = issued.chain[:offset] + replacement + issued.chain[offset + len(replacement) :]
    try:
        pair = read_pair(damaged, issued.key, 1.8e9)
    except PairError:
        return
    assert pair.fingerprint


def _long_lived_pair() -> Any:
    global _issued
    if _issued is None:
        _issued = certs.authority().issue("shop.test", ends=20_000)
    return _issued


_issued: Any = None


def test_roots_and_lists_of_revoked_certificates_are_counted_or_refused() -> None:
    import time

    now = time.time()
    assert read_roots(certs.authority().pem, now) == 1
    with pytest.raises(PairError, match="valid now"):
        read_roots(Authority(days=-0.5).pem, now)
    with pytest.raises(PairError, match="no certificate"):
        read_roots(b"", now)
    assert read_revoked(certs.authority().revoked([5, 6])) == 2
    with pytest.raises(PairError, match="no list"):
        read_revoked(certs.authority().pem)


def test_a_client_has_its_host_names_and_its_common_name() -> None:
    from cryptography import x509
    from cryptography.hazmat.primitives.serialization import Encoding

    issued = certs.authority().issue("screen.depot.test", common="depot 7")
    der = x509.load_pem_x509_certificate(issued.chain).public_bytes(Encoding.DER)
    assert subjects_of(der) == ("screen.depot.test", "depot 7")


# Certificates in use.


class Clock:
    def __init__(self) -> None:
        import time

        self.now = time.time()

    def __call__(self) -> float:
        return self.now


def table(*stems: str, **options: Any) -> ListenerTlsTable:
    return ListenerTlsTable(
        certificate=[PairTable(chain=f"{stem}.pem", key=f"{stem}.key") for stem in stems], **options
    )


def test_half_a_new_pair_is_refused_and_the_complete_one_is_loaded(tmp_path: Path) -> None:
    heard, old, new = RecordingLogger(), certs.authority().issue("a.test"), certs.authority().issue("a.test")
    write_pair(tmp_path, "a", old)
    keys = ServerKeys(table("a"), tmp_path, ["a.test"], heard, "main", Clock())
    first, context = keys.certificates()[0].fingerprint, keys.context
    keys.poll()
    assert keys.context is context
    write_private(tmp_path / "a.pem", new.chain)
    for _ in range(3):
        keys.poll()
    assert keys.certificates()[0].fingerprint == first and keys.context is context
    assert "not the certificate's" in keys.watched.refused and heard.count("keys not taken") == 1
    write_private(tmp_path / "a.key", new.key)
    keys.poll()
    assert keys.context is context  # a file that has just changed may not be complete
    keys.poll()
    assert (
        keys.certificates()[0].fingerprint != first
        and keys.context is not context
        and not keys.watched.refused
    )
    assert heard.count("keys taken") == 1 and keys.watched.changes == 1


@pytest.mark.parametrize("damage", ["gone", "cut", "loose", "expired", "another name"])
def test_an_invalid_new_pair_leaves_the_old_one_in_use(tmp_path: Path, damage: str) -> None:
    heard = RecordingLogger()
    write_pair(tmp_path, "a", certs.authority().issue("a.test"))
    keys = ServerKeys(table("a"), tmp_path, ["a.test"], heard, "main", Clock())
    certificates = keys.certificates()
    if damage == "gone":
        (tmp_path / "a.pem").unlink()
    elif damage == "cut":
        (tmp_path / "a.key").write_bytes((tmp_path / "a.key").read_bytes()[:50])
    elif damage == "loose":
        write_pair(tmp_path, "a", certs.authority().issue("a.test"))
        os.chmod(tmp_path / "a.key", 0o644)
    else:
        bad = (
            certs.authority().issue("a.test", ends=-0.1)
            if damage == "expired"
            else certs.authority().issue("b.test")
        )
        write_pair(tmp_path, "a", bad)
    for _ in range(3):
        keys.poll()
    assert keys.certificates() == certificates and keys.watched.refused and heard.count("keys not taken") == 1
    assert "PRIVATE" not in "".join(heard.lines)


def test_the_host_names_of_routes_must_be_covered(tmp_path: Path) -> None:
    write_pair(tmp_path, "a", certs.authority().issue("a.test"))
    write_pair(tmp_path, "b", certs.authority().issue("*.b.test"))
    ServerKeys(
        table("a", "b"), tmp_path, ["a.test", "x.b.test", "*.b.test"], RecordingLogger(), "main", Clock()
    )
    with pytest.raises(
        PairError, match="no certificate is for c.test, which routes name; there are certificates for: a.test"
    ):
        ServerKeys(table("a", "b"), tmp_path, ["a.test", "c.test"], RecordingLogger(), "main", Clock())


def test_a_key_that_other_users_can_read_is_refused(tmp_path: Path) -> None:
    write_pair(tmp_path, "a", certs.authority().issue("a.test"))
    os.chmod(tmp_path / "a.key", 0o644)
    with pytest.raises(PairError, match="chmod 600"):
        ServerKeys(table("a"), tmp_path, [], RecordingLogger(), "main", Clock())


def test_ticket_keys_are_renewed_after_ticket_life(tmp_path: Path) -> None:
    clock = Clock()
    write_pair(tmp_path, "a", certs.authority().issue("a.test"))
    keys = ServerKeys(table("a", ticket_life=Duration(60.0)), tmp_path, [], RecordingLogger(), "main", clock)
    context = keys.context
    clock.now += 59
    keys.poll()
    assert keys.context is context
    clock.now += 2
    keys.poll()
    assert keys.context is not context
    context = keys.context
    keys.poll()
    assert keys.context is context


def test_expiry_is_logged_once_at_each_threshold_and_once_after_it() -> None:
    heard, end = RecordingLogger(), 1e9
    warnings, certificates = ExpiryWarnings(heard), [ServedCertificate("a.pem", ("a.test",), end, "f")]
    for left in (
        31 * 86400,
        *(left for threshold in WARN_S for left in (threshold, threshold - 1)),
        0.0,
        -5.0,
    ):
        warnings.check(certificates, end - left)
    assert heard.count("a certificate ends") == len(WARN_S) + 1
    assert "has expired" in heard.lines[-1]
    warnings.check([ServedCertificate("a.pem", ("a.test",), end + 1e9, "g")], end)
    assert heard.count("a certificate ends") == len(WARN_S) + 1
    assert describe_expiry(end, end - 3600 * 5).startswith("ends in 5 hours")


def test_a_clock_that_jumps_past_the_expiry_leaves_the_context_in_use(tmp_path: Path) -> None:
    clock, heard = Clock(), RecordingLogger()
    write_pair(tmp_path, "a", certs.authority().issue("a.test"))
    keys = ServerKeys(table("a"), tmp_path, [], heard, "main", clock)
    context = keys.context
    clock.now += 91 * 86400
    keys.poll()
    assert keys.context is not None and heard.count("a certificate ends") == 1
    assert (
        context is not None
        and "has expired" in summary({"listener main": keys.certificates()}, clock())[0]["ends"]
    )


def test_each_member_has_its_own_context_until_the_roots_change(tmp_path: Path) -> None:
    write_private(tmp_path / "roots.pem", certs.authority().pem)
    keys = MemberKeys(PoolTlsTable(roots=["roots.pem"]), tmp_path, RecordingLogger(), "p", Clock())
    assert keys.context("a") is keys.context("a") is not keys.context("b")
    assert keys.name_of("a", ("10.0.0.1", 443)) == "a"
    before = keys.context("a")
    write_private(tmp_path / "roots.pem", certs.authority().pem + certs.untrusted_authority().pem)
    for _ in range(2):
        keys.poll()
    assert keys.context("a") is not before
    by_address = MemberKeys(
        PoolTlsTable(roots=["roots.pem"], name="address"), tmp_path, RecordingLogger(), "p", Clock()
    )
    assert by_address.name_of("a", ("10.0.0.1", 443)) == "10.0.0.1"
