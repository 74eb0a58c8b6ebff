"""Keys and handshakes without a socket: which serves which name, who shakes hands when, whose fault a failure is, and
what a pair is refused for."""

from __future__ import annotations

import os
import random
from pathlib import Path
from typing import Any

import certs
import pytest
from daemons import Heard
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.config.types import Duration, ListenerTlsTable, PairTable, PoolTlsTable
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.tls.demo import Authority, write_pair, write_private
from loadbalancer.tls.handshakes import Bounds, Handshakes, Turn
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
    "pattern, name, fits",
    [("shop.test", "SHOP.test.", True), ("*.shop.test", "a.shop.test", True), ("*.shop.test", "a.b.shop.test", False),
     ("*.shop.test", "shop.test", False), ("*.shop.test", ".shop.test", False), ("*.shop.test", "*.shop.test", True),
     ("shop.test", "a.shop.test", False)],
)  # fmt: skip
def test_what_a_certificate_covers(pattern: str, name: str, fits: bool) -> None:
    assert covers(pattern, name) == fits


def test_exact_before_wildcard_before_default_whatever_is_asked_for() -> None:
    served = NameTable("default")
    served.add(["*.shop.test", "shop.test"], "shop")
    served.add(["a.shop.test"], "a")
    served.add(["shop.test"], "second")
    asked: dict[Any, str] = {
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
    assert {name: served.find(name) for name in asked} == asked
    assert served.names() == ["*.shop.test", "a.shop.test", "shop.test"]


@pytest.mark.parametrize(
    "name", ["", ".", "a..b", "a\0b", "a b", "x" * 64 + ".test", "é.test", "*", "a.*.test", "a/b"]
)
def test_what_is_no_name(name: str) -> None:
    assert not is_name(name)


# Handshakes.


class Door:
    """Turns, and what became of each."""

    def __init__(self, **bounds: Any) -> None:
        self.shakes = Handshakes(Bounds(**bounds))
        self.begun: list[str] = []
        self.dropped: dict[str, str] = {}
        self.turns: dict[str, Turn] = {}

    def want(self, name: str, now: float, address: str = "", known: bool = False) -> None:
        turn = Turn(
            address or name,
            known,
            now,
            lambda: self.begun.append(name),
            lambda why: self.dropped.__setitem__(name, why),
        )
        self.turns[name] = turn
        self.shakes.want(turn, now)

    def end(self, name: str, now: float) -> None:
        self.shakes.ended(self.turns[name], now)


def test_no_more_than_the_most_and_known_clients_first_then_the_newest() -> None:
    door = Door(max_concurrent=2)
    for name in "abcd":
        door.want(name, 0.0)
    door.want("known", 0.1, known=True)
    assert door.begun == ["a", "b"] and door.shakes.waiting == 3
    door.end("a", 0.2)
    door.end("b", 0.2)
    assert door.begun == ["a", "b", "known", "d"]
    door.end("known", 0.3)
    assert door.begun[-1] == "c" and door.shakes.under_way == 2


def test_strangers_that_never_finish_leave_room_for_known_clients() -> None:
    door = Door(max_concurrent=16, max_per_address=100, per_s=1000.0)
    for number in range(40):
        door.want(f"s{number}", 0.0)
    assert len(door.begun) == 14
    for number in range(3):
        door.want(f"k{number}", 0.1, known=True)
    assert door.begun[14:] == ["k0", "k1"]
    door.end("k0", 0.2)
    assert door.begun[-1] == "k2" and door.shakes.unknown_under_way == 14


def test_strangers_are_held_to_a_rate_and_known_clients_are_not() -> None:
    door = Door(max_concurrent=1000, per_s=10.0, max_waiting=1000)
    for number in range(100):
        door.want(f"s{number}", 0.0)
    for number in range(50):
        door.want(f"k{number}", 0.0, known=True)
    assert len(door.begun) == 60
    after = door.shakes.look(0.0)
    assert after is not None and after == pytest.approx(0.1)
    for step in range(1, 101):
        door.shakes.look(step / 100)
    assert 69 <= len(door.begun) <= 70


def test_one_address_has_its_part_and_no_more() -> None:
    door = Door(max_concurrent=1, max_per_address=3)
    for number in range(5):
        door.want(f"x{number}", 0.0, "10.0.0.1")
    door.want("other", 0.0, "10.0.0.2")
    assert set(door.dropped) == {"x3", "x4"} and "of one address" in door.dropped["x3"]
    door.end("x0", 0.1)
    door.want("x5", 0.2, "10.0.0.1")
    assert "x5" not in door.dropped
    door.want("known", 0.2, "10.0.0.1", known=True)
    assert "known" not in door.dropped


def test_who_waits_too_long_or_is_one_too_many_is_dropped_once() -> None:
    door = Door(max_concurrent=1, max_waiting=2, patience=1.0)
    for name in "abcd":
        door.want(name, 0.0)
    assert list(door.dropped) == ["b"] and "wait" in door.dropped["b"]
    after = door.shakes.look(0.5)
    assert after == pytest.approx(0.5)
    assert door.shakes.look(1.0) is None
    assert set(door.dropped) == {"b", "c", "d"}
    for name in "abcd":
        door.end(name, 1.1)
    assert door.shakes.under_way == door.shakes.waiting == 0


def test_a_pile_after_a_restart_is_worked_off_and_nothing_is_left_behind() -> None:
    """Two thousand at once, of which known clients are all served; whatever becomes of each, nothing stays counted."""
    door, draws, now = (
        Door(max_concurrent=32, per_s=200.0, max_per_address=16, max_waiting=512, patience=2.5),
        random.Random(3),
        0.0,
    )
    for number in range(2000):
        door.want(f"n{number}", now, f"10.0.{number % 200}.1", known=number % 10 == 0)
    under_way = list(door.begun)
    while door.shakes.under_way or door.shakes.waiting:
        now += 0.005
        for name in draws.sample(under_way, min(4, len(under_way))):
            door.end(name, now)
        door.shakes.look(now)
        under_way = [name for name in door.begun if not door.turns[name].finished]
        assert door.shakes.under_way <= 32 and now < 60
    assert all(f"n{number}" in door.begun for number in range(0, 2000, 10))
    assert len(door.begun) + len(door.dropped) == 2000 and not door.shakes._by_address


STEPS = st.lists(st.tuples(st.sampled_from("wel"), st.integers(0, 5), st.floats(0.0, 1.0)), max_size=80)


@given(STEPS)
def test_every_turn_begins_or_is_dropped_and_counts_once(steps: list[tuple[str, int, float]]) -> None:
    door, now, number = (
        Door(max_concurrent=2, per_s=3.0, max_per_address=2, max_waiting=3, patience=1.5),
        0.0,
        0,
    )
    for what, value, wait in steps:
        now += wait
        if what == "w":
            number += 1
            door.want(f"n{number}", now, f"10.0.0.{value}", known=value == 0)
        elif what == "e" and door.begun:
            door.end(door.begun[value % len(door.begun)], now)
        else:
            door.shakes.look(now)
        assert 0 <= door.shakes.under_way <= 2 and door.shakes.waiting <= 3
    for name in list(door.turns):
        door.end(name, now)
    assert door.shakes.under_way == door.shakes.waiting == 0 and not door.shakes._by_address
    assert len(set(door.begun)) == len(door.begun) and not set(door.begun) & set(door.dropped)


# HandshakeResults.


def test_one_member_that_fails_is_sick_and_all_of_them_are_our_fault() -> None:
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


def test_different_reasons_and_broken_handshakes_are_the_members() -> None:
    results = HandshakeResults()
    for name, reason in zip(
        "abcd", (Reason.EXPIRED, Reason.NAME, Reason.UNKNOWN, Reason.BROKEN), strict=True
    ):
        assert results.failed(name, reason, 1.0) == AttemptResult.NO_CONNECTION
    for name in "abcd":
        assert results.failed(name, Reason.BROKEN, 2.0) == AttemptResult.NO_CONNECTION
    assert results.common_failure is None


def test_a_lone_member_is_never_our_fault_and_what_is_long_ago_does_not_count() -> None:
    results = HandshakeResults()
    assert results.failed("a", Reason.UNKNOWN, 1.0) == AttemptResult.NO_CONNECTION
    assert results.failed("b", Reason.UNKNOWN, 2.0 + WINDOW_S) == AttemptResult.NO_CONNECTION
    results.remove("a")
    assert results.failed("b", Reason.UNKNOWN, 3.0 + WINDOW_S) == AttemptResult.NO_CONNECTION


def test_reasons_of_problems() -> None:
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


def wrong(*names: str, **more: Any) -> Any:
    return certs.authority().issue(*(names or (certs.HOST,)), **more)


def test_a_good_pair_and_what_is_known_of_it() -> None:
    import time

    issued, now = certs.authority().issue("*.shop.test", "10.0.0.1"), time.time()
    pair = read_pair(issued.chain, issued.key, now, ["a.shop.test", "10.0.0.1"])
    assert pair.names == ("*.shop.test", "10.0.0.1") and abs(pair.not_after - now - 90 * 86400) < 60
    assert issued.key.decode().split("\n")[1] not in repr(pair)


@pytest.mark.parametrize(
    "more, words",
    [
        ({"ends": -0.5}, "has expired"),
        ({"begins": 1.0}, "not valid before"),
        ({"bits": 1024}, "RSA key of 1024 bits"),
    ],
)
def test_a_pair_that_is_not_good_says_why(more: dict[str, Any], words: str) -> None:
    import time

    issued = wrong(**more)
    with pytest.raises(PairError, match=words):
        read_pair(issued.chain, issued.key, time.time())


def test_all_findings_are_told_at_once() -> None:
    import time

    one, other = wrong(ends=-0.5), wrong()
    with pytest.raises(PairError) as caught:
        read_pair(one.chain, other.key, time.time(), ["else.test"])
    assert len(caught.value.problems) == 3 and "not the certificate's" in str(caught.value)


def test_chains_keys_and_rubbish() -> None:
    import time

    now, issued, roots = time.time(), wrong(), certs.authority().pem
    read_pair(issued.chain + roots, issued.key, now)
    for chain, key, words in (
        (issued.chain + certs.untrusted_authority().pem, issued.key, "not signed by the next"),
        (b"nonsense", issued.key, "no certificate"),
        (issued.chain, b"nonsense", "key can't be read"),
        (issued.chain * 11, issued.key, "at most 10"),
        (b"x" * (2 << 20), issued.key, "at most"),
    ):
        with pytest.raises(PairError, match=words):
            read_pair(chain, key, now)


@given(st.binary(max_size=60), st.integers(0, 400))
def test_a_damaged_chain_is_an_error_or_as_good_as_it_says(rubbish: bytes, place: int) -> None:
    issued = _one()
    damaged = issued.chain[:place] + rubbish + issued.chain[place + len(rubbish) :]
    try:
        pair = read_pair(damaged, issued.key, 1.8e9)
    except PairError:
        return
    assert pair.fingerprint


def _one() -> Any:
    global _issued
    if _issued is None:
        _issued = certs.authority().issue("shop.test", ends=20_000)
    return _issued


_issued: Any = None


def test_roots_and_lists_of_revoked_ones() -> None:
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


def test_the_names_of_a_client() -> None:
    from cryptography import x509
    from cryptography.hazmat.primitives.serialization import Encoding

    issued = certs.authority().issue("screen.depot.test", common="depot 7")
    der = x509.load_pem_x509_certificate(issued.chain).public_bytes(Encoding.DER)
    assert subjects_of(der) == ("screen.depot.test", "depot 7")


# Keys in service.


class Clock:
    def __init__(self) -> None:
        import time

        self.now = time.time()

    def __call__(self) -> float:
        return self.now


def table(*stems: str, **more: Any) -> ListenerTlsTable:
    return ListenerTlsTable(certificate=[PairTable(chain=f"{s}.pem", key=f"{s}.key") for s in stems], **more)


def test_half_a_pair_on_disk_changes_nothing_and_the_whole_one_serves(tmp_path: Path) -> None:
    heard, old, new = Heard(), certs.authority().issue("a.test"), certs.authority().issue("a.test")
    write_pair(tmp_path, "a", old)
    keys = ServerKeys(table("a"), tmp_path, ["a.test"], heard, "main", Clock())
    first, context = keys.held()[0].fingerprint, keys.context
    keys.look()
    assert keys.context is context
    write_private(tmp_path / "a.pem", new.chain)
    for _ in range(3):
        keys.look()
    assert keys.held()[0].fingerprint == first and keys.context is context
    assert "not the certificate's" in keys.watched.refused and heard.count("keys not taken") == 1
    write_private(tmp_path / "a.key", new.key)
    keys.look()
    assert keys.context is context  # a file that has just changed may still be written
    keys.look()
    assert keys.held()[0].fingerprint != first and keys.context is not context and not keys.watched.refused
    assert heard.count("keys taken") == 1 and keys.watched.changes == 1


@pytest.mark.parametrize("what", ["gone", "cut", "loose", "expired", "another name"])
def test_a_bad_one_leaves_the_old(tmp_path: Path, what: str) -> None:
    heard = Heard()
    write_pair(tmp_path, "a", certs.authority().issue("a.test"))
    keys = ServerKeys(table("a"), tmp_path, ["a.test"], heard, "main", Clock())
    held = keys.held()
    if what == "gone":
        (tmp_path / "a.pem").unlink()
    elif what == "cut":
        (tmp_path / "a.key").write_bytes((tmp_path / "a.key").read_bytes()[:50])
    elif what == "loose":
        write_pair(tmp_path, "a", certs.authority().issue("a.test"))
        os.chmod(tmp_path / "a.key", 0o644)
    else:
        bad = (
            certs.authority().issue("a.test", ends=-0.1)
            if what == "expired"
            else certs.authority().issue("b.test")
        )
        write_pair(tmp_path, "a", bad)
    for _ in range(3):
        keys.look()
    assert keys.held() == held and keys.watched.refused and heard.count("keys not taken") == 1
    assert "PRIVATE" not in "".join(heard.lines)


def test_names_that_routes_want_must_be_covered(tmp_path: Path) -> None:
    write_pair(tmp_path, "a", certs.authority().issue("a.test"))
    write_pair(tmp_path, "b", certs.authority().issue("*.b.test"))
    ServerKeys(table("a", "b"), tmp_path, ["a.test", "x.b.test", "*.b.test"], Heard(), "main", Clock())
    with pytest.raises(
        PairError, match="no certificate is for c.test, which routes name; there are certificates for: a.test"
    ):
        ServerKeys(table("a", "b"), tmp_path, ["a.test", "c.test"], Heard(), "main", Clock())


def test_a_key_that_is_open_to_others_never_serves(tmp_path: Path) -> None:
    write_pair(tmp_path, "a", certs.authority().issue("a.test"))
    os.chmod(tmp_path / "a.key", 0o644)
    with pytest.raises(PairError, match="chmod 600"):
        ServerKeys(table("a"), tmp_path, [], Heard(), "main", Clock())


def test_tickets_get_new_keys_when_their_life_is_over(tmp_path: Path) -> None:
    clock = Clock()
    write_pair(tmp_path, "a", certs.authority().issue("a.test"))
    keys = ServerKeys(table("a", ticket_life=Duration(60.0)), tmp_path, [], Heard(), "main", clock)
    context = keys.context
    clock.now += 59
    keys.look()
    assert keys.context is context
    clock.now += 2
    keys.look()
    assert keys.context is not context
    context = keys.context
    keys.look()
    assert keys.context is context


def test_ends_are_warned_of_once_at_each_mark_also_past_them() -> None:
    heard, end = Heard(), 1e9
    warnings, held = ExpiryWarnings(heard), [ServedCertificate("a.pem", ("a.test",), end, "f")]
    for left in (31 * 86400, *(mark for at in WARN_S for mark in (at, at - 1)), 0.0, -5.0):
        warnings.check(held, end - left)
    assert heard.count("a certificate ends") == len(WARN_S) + 1
    assert "has expired" in heard.lines[-1]
    warnings.check([ServedCertificate("a.pem", ("a.test",), end + 1e9, "g")], end)
    assert heard.count("a certificate ends") == len(WARN_S) + 1
    assert describe_expiry(end, end - 3600 * 5).startswith("ends in 5 hours")


def test_a_clock_that_steps_past_the_end_takes_nothing_down(tmp_path: Path) -> None:
    clock, heard = Clock(), Heard()
    write_pair(tmp_path, "a", certs.authority().issue("a.test"))
    keys = ServerKeys(table("a"), tmp_path, [], heard, "main", clock)
    context = keys.context
    clock.now += 91 * 86400
    keys.look()
    assert keys.context is not None and heard.count("a certificate ends") == 1
    assert (
        context is not None and "has expired" in summary({"listener main": keys.held()}, clock())[0]["ends"]
    )


def test_members_have_contexts_of_their_own_until_roots_change(tmp_path: Path) -> None:
    write_private(tmp_path / "roots.pem", certs.authority().pem)
    keys = MemberKeys(PoolTlsTable(roots=["roots.pem"]), tmp_path, Heard(), "p", Clock())
    assert keys.context("a") is keys.context("a") is not keys.context("b")
    assert keys.name_of("a", ("10.0.0.1", 443)) == "a"
    before = keys.context("a")
    write_private(tmp_path / "roots.pem", certs.authority().pem + certs.untrusted_authority().pem)
    for _ in range(2):
        keys.look()
    assert keys.context("a") is not before
    by_address = MemberKeys(
        PoolTlsTable(roots=["roots.pem"], name="address"), tmp_path, Heard(), "p", Clock()
    )
    assert by_address.name_of("a", ("10.0.0.1", 443)) == "10.0.0.1"
