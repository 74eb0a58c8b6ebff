"""Tests of the configuration reader: valid files, and errors with their keys and expected values, all at once."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.config.plan import Plan, load
from loadbalancer.config.reader import ConfigError, read_members_file
from loadbalancer.config.types import Duration, Size
from loadbalancer.policy.settings import (
    Effect,
)

MEMBER = '[[pool.member]]\nid = "m1"\naddress = "127.0.0.1:9001"\n'
GOOD = f"""
[[class]]
name = "track"
aim = "600ms"
deadline = "1.5s"
[[class]]
name = "book"
aim = "1.5s"
deadline = "5s"
effect = "keyed"
dedup_window = "3s"
[[tenant]]
name = "acme"
quota_per_s = 10.0
[[pool]]
name = "web"
{MEMBER}
[[route]]
name = "all"
prefix = "/"
pool = "web"
class = "track"
write_class = "book"
tenant = "acme"
[[listener]]
name = "main"
address = "127.0.0.1:8080"
"""


def read(folder: Path, text: str, name: str = "m.toml") -> Plan:
    path = folder / name
    path.write_text(text)
    return load(path)


def problems(folder: Path, text: str) -> list[tuple[str, str]]:
    with pytest.raises(ConfigError) as caught:
        read(folder, text)
    for problem in caught.value.problems:
        assert problem.file.endswith((".toml", ".json"))
    return [(problem.key, problem.text) for problem in caught.value.problems]


def test_a_valid_file_compiles_to_pools_classes_and_keys(tmp_path: Path) -> None:
    plan = read(tmp_path, GOOD)
    assert plan.pools["web"].table.member[0].address == "127.0.0.1:9001"
    by_method = plan.routes["all"].classes
    names = [
        plan.classes[by_method.choose(method, key)].name
        for method, key in [("GET", False), ("HEAD", True), ("POST", True), ("POST", False)]
    ]
    assert names == ["track", "track", "book", "book-unsafe"]
    effects = [
        plan.classes[number].effect for number in (by_method.read, by_method.write, by_method.write_unkeyed)
    ]
    assert effects == [Effect.SAFE, Effect.KEYED, Effect.UNSAFE]
    assert plan.max_deadline_s == 5.0 and plan.key_headers == {"idempotency-key"}


def test_the_example_file_is_valid() -> None:
    load(Path(__file__).parent.parent / "deploy" / "micastand.toml")


@pytest.mark.parametrize(
    "old, new, key, word",
    [
        ('aim = "600ms"', 'aim = "600"', "class[track].aim", "600ms"),
        ('aim = "600ms"', "aim = 600", "class[track].aim", "600ms"),
        ('aim = "600ms"', 'aim = "6s"', "class[track].aim", "deadline"),
        ('aim = "600ms"', "", "class[track].aim", "missing"),
        ('aim = "600ms"', 'aim = "600ms"\naims = 1', "class[track].aims", "did you mean aim?"),
        ('aim = "600ms"', 'aim = "600ms"\nzzz = 1', "class[track].zzz", "known here: aim"),
        ('effect = "keyed"', 'effect = "kyed"', "class[book].effect", "kyed"),
        ('dedup_window = "3s"', "", "class[book].dedup_window", "drop repeats"),
        ('name = "book"', 'name = "track"', "class[1].name", "class[0]"),
        ('name = "book"', 'name = "b k"', "class[b k].name", "b k"),
        ("quota_per_s = 10.0", "quota_per_s = 0.0", "tenant[acme].quota_per_s", "0.0"),
        (MEMBER, "", "pool[web]", "one of"),
        (MEMBER, MEMBER + 'weight = -1.0\n', "pool[web].member[m1].weight", "-1.0"),
        (MEMBER, MEMBER + 'weight = "1"\n', "pool[web].member[m1].weight", "'1'"),
        (MEMBER, MEMBER + MEMBER, "pool[web].member[1].id", "occurs twice"),
        (MEMBER, MEMBER + MEMBER.replace("m1", "m2"), "pool[web].member[m2].address", "m1"),
        (MEMBER, MEMBER + MEMBER.replace("m1", "m2").replace("9001", "2") + 'route = "m1"\n',
         "pool[web].member[m2].route", "'m1'"),
        (MEMBER, MEMBER.replace("127.0.0.1:9001", "web:80"), "pool[web].member[m1].address", "127.0.0.1:8080"),
        (MEMBER, MEMBER.replace("9001", "99999"), "pool[web].member[m1].address", "99999"),
        (MEMBER, 'discovery = "x"\n', "pool[web].discovery", "IPv4"),
        (MEMBER, 'members_file = "none.toml"\n', "", "can't be read"),
        (MEMBER, 'discovery = "127.0.0.1:1"\n' + MEMBER, "pool[web]", "member and discovery"),
        (MEMBER, 'dialect = "platform"\nclose_delimited = true\n' + MEMBER, "pool[web].close_delimited", "http"),
        ('pool = "web"', 'pool = "wbe"', "route[all].pool", "there are: web"),
        ('class = "track"', 'class = "trak"', "route[all].class", "book, track"),
        ('write_class = "book"', 'write_class = "track"', "route[all].write_class", "safe"),
        ('class = "track"', 'class = "book"', "route[all].write_class", "not safe"),
        ('tenant = "acme"', 'tenant = "x"', "route[all].tenant", "acme"),
        ('prefix = "/"', 'prefix = "x"', "route[all].prefix", "x"),
        ('prefix = "/"', 'prefix = "/"\npath = "/a"', "route[all].path", "one of"),
        ('prefix = "/"', 'prefix = "/"\ndeadline = "0s"', "route[all].deadline", "over 0"),
        ('prefix = "/"', 'prefix = "/"\nsticky = {}', "route[all].sticky", "cookie"),
        ('prefix = "/"', 'prefix = "/"\nsticky = 3', "route[all].sticky", "not a table"),
        ('prefix = "/"', 'prefix = "/"\nheaders = {a = 1}', "route[all].headers", "str"),
        ('address = "127.0.0.1:8080"', 'address = ":8080"', "listener[main].address", "IPv4"),
        ('address = "127.0.0.1:8080"', 'address = "127.0.0.1:1"\nroutes = ["al"]', "listener[main].routes", "all"),
        ('address = "127.0.0.1:8080"', 'address = "127.0.0.1:1"\nroutes = []', "listener[main].routes", "leave"),
        ('address = "127.0.0.1:8080"', 'address = "127.0.0.1:1"\ntrusted = ["x"]', "listener[main].trusted", "'x'"),
        ('address = "127.0.0.1:8080"', 'address = "127.0.0.1:1"\nready_path = "r"', "listener[main].ready_path", "/"),
        ('[[listener]]', '[listener]', "listener", "[[listener]]"),
        ('[[class]]\nname = "track"', 'odd = 1\n[[class]]\nname = "track"', "odd", "unknown key"),
    ],
)  # fmt: skip
def test_an_error_is_reported_with_its_key_and_the_expected_value(
    old: str, new: str, key: str, word: str, tmp_path: Path
) -> None:
    assert old in GOOD
    found = problems(tmp_path, GOOD.replace(old, new, 1))
    assert [k for k, _ in found].count(key) == 1 and len(found) <= 3, found
    assert word in next(text for k, text in found if k == key)


def test_all_errors_are_reported_at_once(tmp_path: Path) -> None:
    """Wrong types hide no dangling references, and these hide no overlapping listeners."""
    text = (
        GOOD.replace('"600ms"', "600")
        .replace('pool = "web"', 'pool = "x"')
        .replace('"acme"\nquota', '"b"\nquota')
    )
    text += '[[listener]]\nname = "two"\naddress = "0.0.0.0:8080"\n[[listener]]\nname = "main"\naddress = "x"\nz = 1\n'
    keys = {key for key, _ in problems(tmp_path, text)}
    assert keys >= {
        "class[track].aim",
        "route[all].pool",
        "route[all].tenant",
        "listener[two].address",
        "listener[2].name",
        "listener[main].z",
    }


def test_all_conflicting_routes_are_reported(tmp_path: Path) -> None:
    more = "".join(f'[[route]]\nname = "r{n}"\nprefix = "/"\npool = "web"\n' for n in range(3))
    found = problems(tmp_path, GOOD + more)
    assert [key for key, _ in found] == ["route[r0]", "route[r1]", "route[r2]"]
    assert "'all' and 'r0'" in found[0][1]


@pytest.mark.parametrize(
    "one, two, overlap",
    [("127.0.0.1:1", "127.0.0.1:1", True), ("0.0.0.0:1", "127.0.0.1:1", True), ("127.0.0.1:1", "0.0.0.0:1", True),
     ("127.0.0.1:1", "127.0.0.1:2", False), ("127.0.0.1:1", "127.0.0.2:1", False),
     ("127.0.0.1:0", "127.0.0.1:0", False)],
)  # fmt: skip
def test_overlapping_listener_addresses_are_refused(
    one: str, two: str, overlap: bool, tmp_path: Path
) -> None:
    text = GOOD.replace("127.0.0.1:8080", one) + f'[[listener]]\nname = "two"\naddress = "{two}"\n'
    if overlap:
        assert [key for key, _ in problems(tmp_path, text)] == ["listener[two].address"]
    else:
        read(tmp_path, text)


@pytest.mark.parametrize(
    "text", ["", "a", "[[pool]", "pool = 3", "\x00", "[[pool]]\n[[pool]]", "route = [1, 2]"]
)
def test_text_that_is_no_configuration_is_reported_without_a_traceback(text: str, tmp_path: Path) -> None:
    assert problems(tmp_path, text)


def test_an_undecodable_or_unreadable_file_is_reported(tmp_path: Path) -> None:
    (tmp_path / "m.toml").write_bytes(b"\xff\xfe")
    with pytest.raises(ConfigError, match="UTF-8"):
        load(tmp_path / "m.toml")
    with pytest.raises(ConfigError, match="can't be read"):
        load(tmp_path)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.data())
def test_a_file_with_changed_bytes_is_read_or_refused(data: Any) -> None:
    """For any edit of a valid file the reader accepts the result or raises ConfigError, and nothing else."""
    import tempfile

    text = list(GOOD)
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(text) - 1))
        text[at] = data.draw(st.sampled_from('\n"[]=.0a-,{}#\\'))
    with tempfile.TemporaryDirectory() as folder:
        try:
            read(Path(folder), "".join(text))
        except ConfigError as error:
            assert error.problems


@pytest.mark.parametrize(
    "text, seconds", [("600ms", 0.6), ("1.5s", 1.5), ("2m", 120.0), ("1h", 3600.0), ("0s", 0.0)]
)
def test_a_duration_is_read_in_seconds(text: str, seconds: float) -> None:
    assert Duration.read(text) == pytest.approx(seconds)


@pytest.mark.parametrize("text", ["1", "s", "1 s", "-1s", "1.s", "1d", "", 1, 1.5, None, True, "1e3s", "١s"])
def test_an_invalid_duration_is_refused(text: Any) -> None:
    with pytest.raises(ValueError, match="unit"):
        Duration.read(text)


@pytest.mark.parametrize(
    "text, size", [("64KiB", 65536), ("1.5MiB", 3 << 19), ("10B", 10), ("2GiB", 2 << 30)]
)
def test_a_size_is_read_in_bytes(text: str, size: int) -> None:
    assert Size.read(text) == size


# Members files.


def test_members_files_are_read_in_toml_and_json(tmp_path: Path) -> None:
    (tmp_path / "a.toml").write_text('[[member]]\nid = "a"\naddress = "127.0.0.1:1"\nstate = "standby"\n')
    (tmp_path / "a.json").write_text(
        '{"members": 1, "member": [{"id": "b", "address": "127.0.0.1:2", "set": 3}]}'
    )
    assert read_members_file(tmp_path / "a.toml")[0].state == "standby"
    assert read_members_file(tmp_path / "a.json")[0].set == 3


@pytest.mark.parametrize("kind", ["toml", "json"])
def test_a_members_file_truncated_at_any_byte_is_refused_or_read_whole(kind: str, tmp_path: Path) -> None:
    """The file states its count of members, which the manual requires of files that are written in place."""
    whole = {
        "toml": "members = 3\n"
        + "".join(f'[[member]]\nid = "m{n}"\naddress = "127.0.0.1:{n}"\n' for n in (1, 2, 3)),
        "json": '{"members": 3, "member": ['
        + ", ".join(f'{{"id": "m{n}", "address": "127.0.0.1:{n}"}}' for n in (1, 2, 3))
        + "]}",
    }[kind]
    path = tmp_path / f"m.{kind}"
    path.write_text(whole)
    good = read_members_file(path)
    for end in range(len(whole)):
        path.write_text(whole[:end])
        try:
            assert read_members_file(path) == good, end
        except ConfigError:
            pass


ADMISSION = "[listener.admission]\n"


@pytest.mark.parametrize(
    "lines, key, words",
    [
        ("connections_per_address = 0", "connections_per_address", ">= 1"),
        ("connects_per_s = 0", "connects_per_s", "> 0"),
        ("growth = 0.5", "growth", ">= 1"),
        ("remembered = 10", "remembered", ">= 256"),
        ("reserve = 0.95", "reserve", "<= 0.9"),
        ("reserve = 0.2", "admission.reserve", "name some"),
        ('known = ["10.0.0.0/8"]', "admission.known", "give reserve"),
        ('known = ["10.0.0.0/33"]\nreserve = 0.1', "admission.known", "not a network"),
        ('exempt = ["depot"]', "admission.exempt", "not a network"),
        ("per_address = 3", "per_address", "per_address"),
    ],
)
def test_an_invalid_admission_table_is_reported(tmp_path: Path, lines: str, key: str, words: str) -> None:
    found = problems(tmp_path, GOOD + ADMISSION + lines + "\n")
    assert any(key in f"{at} {text}" and words in text for at, text in found), found


def test_proxy_protocol_sources_must_be_networks(tmp_path: Path) -> None:
    (at, text), *_ = problems(tmp_path, GOOD + 'proxy_protocol_from = ["front"]\n')
    assert "proxy_protocol_from" in at and "not a network" in text


def test_a_valid_admission_table_is_read(tmp_path: Path) -> None:
    text = GOOD + 'proxy_protocol_from = ["10.9.0.0/24"]\n' + ADMISSION
    plan = read(tmp_path, text + 'connections_per_address = 64\nknown = ["10.1.0.0/16"]\nreserve = 0.25\n')
    admission = plan.listeners["main"].table.admission
    assert admission is not None and (
        admission.connections_per_address,
        admission.reserve,
        admission.growth,
    ) == (64, 0.25, 16.0)
