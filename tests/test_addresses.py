"""Address tables with bounded memory, caps that depend on the score, and slots reserved for known networks."""

from __future__ import annotations

import ipaddress
import math
import random
import tracemalloc
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.admission.addresses import (
    MAX_SCORE,
    MIN_CAP_FACTOR,
    MIN_CAP_PENALTY,
    SCORE_HALF_LIFE_S,
    TRUSTED_SCORE,
    AddressTable,
    Entry,
    prefix_of,
)  # fmt: skip
from loadbalancer.admission.admission import (
    ANSWERED_SCORE,
    MALFORMED_SCORE,
    NO_REQUEST_SCORE,
    PREFIX_CAP_FACTOR,
    RESERVE_KEPT_SHARE,
    UNUSED_SCORE,
    Admission,
    Caps,
    Slots,
    connection_closed,
    connection_opened,
    request_closed,
    request_opened,
)  # fmt: skip
from loadbalancer.admission.networks import Networks
from loadbalancer.admission.rulings import ADMIT, ADMIT_BY_EVICTION, ADMIT_ONCE, REFUSE

DERANDOMIZED = settings(derandomize=True, max_examples=100, deadline=None)
FREE_SLOTS = Slots(1000, 0, 0)
KNOWN_NETWORKS = [ipaddress.ip_network("10.1.0.0/16"), ipaddress.ip_network("2001:db8::/32")]


@pytest.mark.parametrize(
    "address, prefix",
    [
        ("10.1.2.3", "10.1.2"),
        ("10.1.2.200", "10.1.2"),
        ("10.1.3.3", "10.1.3"),
        ("::ffff:10.1.2.3", "10.1.2"),
        ("2001:db8:1:2:3:4:5:6", "20010db800010002"),
        ("2001:db8:1:2:ffff::", "20010db800010002"),
        ("2001:db8:1:3::", "20010db800010003"),
        ("fe80::1%eth0", "fe80000000000000"),
        ("local", "local"),
        ("unix:/run/x", "unix:/run/x"),
        ("", ""),
    ],
)
def test_prefix_of_an_address(address: str, prefix: str) -> None:
    assert prefix_of(address) == prefix


# The table.


def test_table_memory_is_bounded_for_any_number_of_addresses() -> None:
    table = AddressTable(1000)
    for number in range(2000):
        table.get_or_add(f"a{number}", 0.0)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(100_000):
        table.get_or_add(f"b{number}", 0.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table) == 1000 and table.evicted == 101_000
    assert after - before < 1 << 20


def test_entries_in_use_are_never_evicted() -> None:
    table = AddressTable(10)
    held = []
    for number in range(50):
        held.append(table.get_or_add(f"h{number}", 0.0))
        held[-1].connections = 1
    for number in range(1000):
        table.get_or_add(f"s{number}", 0.0)
    assert all(table.get_or_add(f"h{number}", 0.0) is entry for number, entry in enumerate(held))
    for entry in held:
        entry.connections = 0
    for number in range(1000):
        table.get_or_add(f"t{number}", 0.0)
    assert len(table) == 10


def test_untrusted_addresses_never_evict_trusted_ones() -> None:
    admission = Admission(Caps(connections=4, entries=256))
    for number in range(50):
        for _ in range(int(TRUSTED_SCORE) + 5):
            admission.add_score(admission.entries_of(f"10.0.{number}.1", 0.0), ANSWERED_SCORE, 0.0)
    for number in range(20_000):
        admission.decide_connection(f"11.{number >> 16}.{number >> 8 & 255}.{number & 255}", 0.0, FREE_SLOTS)
    assert len(admission.addresses) <= 256
    for number in range(50):
        assert admission.addresses.get_or_add(f"10.0.{number}.1", 0.0).score >= TRUSTED_SCORE


@DERANDOMIZED
@given(st.lists(st.tuples(st.integers(0, 40), st.sampled_from("oOcm")), max_size=300))
def test_table_stays_within_its_bound_and_keeps_entries_in_use(
    steps: list[tuple[int, str]],
) -> None:
    table, held = AddressTable(16), dict[int, int]()
    for key, step in steps:
        entry = table.get_or_add(str(key), 0.0)
        assert entry.connections == held.get(key, 0)
        if step == "o":
            entry.connections += 1
            held[key] = held.get(key, 0) + 1
        elif step == "c" and held.get(key):
            entry.connections -= 1
            held[key] -= 1
        elif step == "m":
            entry.add_score(TRUSTED_SCORE, 0.0)
            table.promote_if_trusted(entry, 0.0)
        assert len(table) <= 16 + sum(count > 0 for count in held.values()) + 1


# The score.


def test_score_halves_within_its_half_life() -> None:
    entry = Entry("a", 0.0)
    entry.add_score(100.0, 0.0)
    assert entry.current_score(SCORE_HALF_LIFE_S) == pytest.approx(50.0)
    entry.add_score(0.0, SCORE_HALF_LIFE_S)
    assert entry.current_score(2 * SCORE_HALF_LIFE_S) == pytest.approx(25.0)


def test_score_is_bounded_both_ways() -> None:
    entry = Entry("a", 0.0)
    for _ in range(10_000):
        entry.add_score(ANSWERED_SCORE, 0.0)
    assert entry.current_score(0.0) == MAX_SCORE and entry.cap_factor(0.0, 16.0) == 16.0
    for _ in range(10_000):
        entry.add_score(MALFORMED_SCORE, 0.0)
    assert entry.current_score(0.0) == -2 * MIN_CAP_PENALTY and entry.cap_factor(0.0, 16.0) == MIN_CAP_FACTOR


@DERANDOMIZED
@given(st.lists(st.tuples(st.floats(-1e6, 1e6), st.floats(-10, 10)), max_size=50))
def test_score_and_tokens_stay_in_bounds_with_any_clock(steps: list[tuple[float, float]]) -> None:
    entry = Entry("a", 0.0)
    for now, change in steps:
        entry.add_score(change, now)
        entry.try_take_token(now, 3.0)
        assert -2 * MIN_CAP_PENALTY <= entry.current_score(now) <= MAX_SCORE
        assert 0.0 <= entry.tokens <= 6.0 and MIN_CAP_FACTOR <= entry.cap_factor(now, 4.0) <= 4.0


def test_token_bucket_refills_after_the_clock_steps_back() -> None:
    entry = Entry("a", 1000.0)
    while entry.try_take_token(1000.0, 2.0):
        pass
    assert not entry.try_take_token(0.0, 2.0)
    assert entry.try_take_token(0.5, 2.0) and not entry.try_take_token(0.5, 2.0)


# Caps.


def fill(admission: Admission, address: str, now: float = 0.0, most: int = 10_000) -> int:
    """Open connections of an address until one is not admitted; return how many were."""
    for count in range(most):
        if admission.decide_connection(address, now, FREE_SLOTS).verdict != ADMIT:
            return count
        connection_opened(admission.entries_of(address, now))
    return most


def test_address_at_its_cap_is_refused_with_a_retry_time() -> None:
    admission = Admission(Caps(connections=8))
    assert fill(admission, "10.0.0.1") == 8
    ruling = admission.decide_connection("10.0.0.1", 0.0, FREE_SLOTS)
    assert ruling.verdict == REFUSE and ruling.retry_after > 0 and "address" in ruling.reason
    assert fill(admission, "10.0.1.1") == 8
    connection_closed(admission.entries_of("10.0.0.1", 0.0))
    assert admission.decide_connection("10.0.0.1", 0.0, FREE_SLOTS).verdict == ADMIT


@pytest.mark.parametrize("form", ["10.0.0.{}", "2001:db8:0:1::{}"])
def test_addresses_of_one_prefix_share_its_cap(form: str) -> None:
    admission = Admission(Caps(connections=8))
    assert sum(fill(admission, form.format(number)) for number in range(100)) == 8 * PREFIX_CAP_FACTOR


def test_new_connections_are_rate_limited() -> None:
    admission = Admission(Caps(per_s=5.0))
    assert fill(admission, "10.0.0.1") == 10
    assert fill(admission, "10.0.0.1", 1.0) == 5
    assert fill(admission, "10.0.0.1", 1.0) == 0
    assert fill(admission, "10.0.0.1", 100.0) == 10


def test_open_requests_of_an_address_are_capped() -> None:
    admission = Admission(Caps(requests=3))
    rows, other = admission.entries_of("10.0.0.1", 0.0), admission.entries_of("10.0.9.1", 0.0)
    for _ in range(3):
        assert admission.may_open_request(rows, 0.0)
        request_opened(rows)
    assert not admission.may_open_request(rows, 0.0) and admission.may_open_request(other, 0.0)
    request_closed(rows)
    assert admission.may_open_request(rows, 0.0)


def test_cap_of_a_nat_with_honest_clients_grows_and_that_of_an_idle_flood_does_not() -> None:
    """400 clients behind one address with one connection each; another address opens connections without requests."""
    admission = Admission(Caps(connections=32, growth=16.0))
    nat, flood, now = "10.0.0.1", "10.0.1.1", 0.0
    assert fill(admission, flood) == 32
    remaining, rounds = 400, 0
    while remaining and rounds < 20:
        rounds += 1
        now += 1.0
        admitted = fill(admission, nat, now, remaining)
        remaining -= admitted
        for _ in range(400 - remaining):  # each admitted client sends one request per second
            admission.add_score(admission.entries_of(nat, now), ANSWERED_SCORE, now)
    assert remaining == 0 and rounds <= 8
    assert fill(admission, flood, now) == 0


@pytest.mark.parametrize("bad", [NO_REQUEST_SCORE, MALFORMED_SCORE])
def test_cap_shrinks_after_silent_or_malformed_connections_and_recovers_with_time(
    bad: float,
) -> None:
    admission = Admission(Caps(connections=32))
    for _ in range(50):
        admission.add_score(admission.entries_of("10.0.0.1", 0.0), bad, 0.0)
    assert fill(admission, "10.0.0.1") == 32 * MIN_CAP_FACTOR
    assert (
        admission.addresses.get_or_add("10.0.0.1", 20 * SCORE_HALF_LIFE_S).cap_factor(
            20 * SCORE_HALF_LIFE_S, 16.0
        )
        > 0.99
    )


def test_single_request_on_an_unused_connection_does_not_raise_the_cap() -> None:
    admission = Admission(Caps(connections=32))
    for _ in range(500):
        admission.add_score(admission.entries_of("10.0.0.1", 0.0), ANSWERED_SCORE, 0.0)
        admission.add_score(admission.entries_of("10.0.0.1", 0.0), UNUSED_SCORE, 0.0)
    assert admission.addresses.get_or_add("10.0.0.1", 0.0).cap_factor(0.0, 16.0) == pytest.approx(1.0)


def test_no_cap_applies_to_exempt_networks_known_networks_and_unix_sockets() -> None:
    exempt = [ipaddress.ip_network("192.168.0.0/24")]
    admission = Admission(Caps(connections=1, per_s=0.1, requests=1), KNOWN_NETWORKS, 0.1, exempt)
    assert fill(admission, "192.168.0.9", most=200) == 200
    assert fill(admission, "::ffff:10.1.9.9", most=200) == 200
    assert fill(admission, "local", most=200) == 200
    assert all(admission.may_open_request(admission.entries_of("10.1.9.9", 0.0), 0.0) for _ in range(10))


# The reserved slots.


def test_unused_reserved_slots_are_lent_except_for_the_kept_share() -> None:
    admission = Admission(Caps(), KNOWN_NETWORKS, 0.4)
    rulings = [
        admission.decide_connection("9.9.9.9", 0.0, Slots(100, taken, 0)).verdict for taken in range(101)
    ]
    kept = math.ceil(40 * RESERVE_KEPT_SHARE)
    assert rulings[:60] == [ADMIT] * 60
    assert rulings[60 : 100 - kept] == [ADMIT_ONCE] * (40 - kept)
    assert rulings[100 - kept :] == [ADMIT_BY_EVICTION] * (kept + 1)


def test_known_networks_are_admitted_when_all_slots_are_used() -> None:
    admission = Admission(Caps(connections=1), KNOWN_NETWORKS, 0.4)
    for address in ("10.1.2.3", "2001:db8::7", "::ffff:10.1.0.1"):
        assert admission.decide_connection(address, 0.0, Slots(100, 100, 0)).verdict == ADMIT


def test_fully_used_reserve_takes_no_further_slots_from_other_clients() -> None:
    admission = Admission(Caps(), KNOWN_NETWORKS, 0.4)
    assert admission.decide_connection("9.9.9.9", 0.0, Slots(100, 99, 40)).verdict == ADMIT
    assert admission.decide_connection("9.9.9.9", 0.0, Slots(100, 99, 39)).verdict == ADMIT_BY_EVICTION


@DERANDOMIZED
@given(st.integers(1, 500), st.floats(0.0, 0.9), st.lists(st.booleans(), max_size=800))
def test_known_client_always_finds_a_slot_within_the_reserve(
    most: int, floor: float, arrivals: list[bool]
) -> None:
    """No connection ends and no lent slot is recovered: the kept share must suffice for the first known clients."""
    admission = Admission(Caps(), KNOWN_NETWORKS, floor)
    taken = known = 0
    kept = math.ceil(math.ceil(most * floor) * RESERVE_KEPT_SHARE)
    for is_known in arrivals:
        verdict = admission.decide_connection(
            "10.1.0.1" if is_known else "9.9.9.9", 0.0, Slots(most, taken, known)
        ).verdict
        if is_known:
            assert verdict == ADMIT
            assert taken < most or known >= kept
        if verdict in (ADMIT, ADMIT_ONCE) and taken < most:
            taken += 1
            known += is_known


def test_random_connects_and_closes_leave_no_counts() -> None:
    randoms = random.Random(7)
    admission = Admission(Caps(connections=5, requests=5, entries=256))
    held: list[str] = []
    for step in range(20_000):
        address = f"10.0.{randoms.randrange(300)}.{randoms.randrange(4)}"
        if (
            randoms.random() < 0.5
            and admission.decide_connection(address, step / 10, FREE_SLOTS).verdict == ADMIT
        ):
            connection_opened(admission.entries_of(address, step / 10))
            request_opened(admission.entries_of(address, step / 10))
            held.append(address)
        elif held:
            gone = held.pop(randoms.randrange(len(held)))
            request_closed(admission.entries_of(gone, step / 10))
            connection_closed(admission.entries_of(gone, step / 10))
    for address in held:
        request_closed(admission.entries_of(address, 2000.0))
        connection_closed(admission.entries_of(address, 2000.0))
    for table in (admission.addresses, admission.prefixes):
        assert all(not entry.in_use for rows in (table._untrusted, table._trusted) for entry in rows.values())


# Sets of networks.

#: Few values, so that many addresses are in one of the networks.
OCTETS = st.lists(st.integers(0, 3), min_size=4, max_size=4)


@st.composite
def networks(draw: st.DrawFn) -> ipaddress.IPv4Network | ipaddress.IPv6Network:
    text = ".".join(map(str, draw(OCTETS)))
    if draw(st.booleans()):
        return ipaddress.ip_network(f"{text}/{draw(st.integers(0, 32))}", strict=False)
    address = ipaddress.IPv6Address(int(ipaddress.IPv4Address(text)) << 96)
    return ipaddress.ip_network(f"{address}/{draw(st.integers(0, 64))}", strict=False)


@given(st.lists(networks(), max_size=8), OCTETS, st.booleans())
def test_set_of_networks_matches_a_linear_search(those: list[Any], octets: list[int], six: bool) -> None:
    address: Any = ipaddress.IPv4Address(".".join(map(str, octets)))
    if six:
        address = ipaddress.IPv6Address(int(address) << 96)
    found = Networks(those)
    assert (str(address) in found) == any(address in network for network in those)
    assert found == Networks(reversed(those)) and bool(found) == bool(those)


def test_networks_match_mapped_and_scoped_addresses_and_no_other_text() -> None:
    found = Networks(["10.0.0.0/8", "fe80::/10"])
    assert "::ffff:10.1.2.3" in found and "fe80::1%eth0" in found
    for other in ("local", "", "10.1", "example.test", "0a00::1", "::a00:1"):
        assert other not in found
    with pytest.raises(ValueError, match="host bits"):
        Networks(["10.0.0.1/8"])
