"""The importer's languages: what they read, and what hostile files get."""

from __future__ import annotations

import time
import tomllib
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_import_samples import Texts

from loadbalancer.cli.__main__ import main
from loadbalancer.importer import fates
from loadbalancer.importer.httpd import Directive, Given, parse
from loadbalancer.importer.imports import Options, import_apache, import_jk
from loadbalancer.importer.jk import parse_map, parse_workers
from loadbalancer.importer.order import Kind, Placed, Rule, arrange, takes
from loadbalancer.importer.report import Fate
from loadbalancer.importer.source import DEPTH_MOST, LINE_MOST, Reading, SourceError
from loadbalancer.routing.routes import Routes
from loadbalancer.routing.routes import Rule as RouteRule


class Raw(Texts):
    def __init__(self, data: bytes) -> None:
        super().__init__()
        self.data = data

    def read(self, path: str) -> bytes:
        return self.data


def tree(text: str, **files: str) -> list[Directive]:
    return parse(Reading(Texts(conf=text, **files)), "conf", Given(), {})[0]


def flat(text: str, **files: str) -> list[str]:
    return [
        f"{one.name} {' '.join(one.args)}".strip()
        for top in tree(text, **files)
        for one in top.walk()
        if not one.idle
    ]


@pytest.mark.parametrize(
    "text, read",
    [
        ("A b\\\n c\n# no \\\n still none\nB", ["A b c", "B"]),
        ('A "x y" \'z "w"\' "a\\"b"', ['A x y z "w" a"b']),
        ("Define N 5\nA ${N}${N}", ["Define N 5", "A 55"]),
        ("<IfModule !mod_x.c>\nA\n</IfModule>", ["IfModule !mod_x.c", "A"]),
        ("LoadModule x_module m/mod_x.so\n<ifmodule mod_x.c>\nA\n</IFMODULE>",
         ["LoadModule x_module m/mod_x.so", "ifmodule mod_x.c", "A"]),
        ("<IfDefine D>\nA\n</IfDefine>\nDefine D\n<IfDefine D>\nB\n</IfDefine>",
         ["IfDefine D", "Define D", "IfDefine D", "B"]),
        ("<IfVersion >= 2.4>\nA\n</IfVersion>\n<IfVersion 2.2>\nB\n</IfVersion>",
         ["IfVersion >= 2.4", "A", "IfVersion 2.2"]),
        ("<Macro M $a $ab>\nA $ab $a\n</Macro>\nUse M 1 2", ["Macro M $a $ab", "Use M 1 2", "A 2 1"]),
        ("ServerRoot /etc/h\nInclude x.conf", ["ServerRoot /etc/h", "Include x.conf", "A in"]),
    ],
)  # fmt: skip
def test_httpd_is_read(text: str, read: list[str]) -> None:
    assert flat(text, **{"/etc/h/x.conf": "A in"}) == read


@pytest.mark.parametrize(
    "text, words",
    [
        ("A\n<Proxy x>", "conf:2: <Proxy> is not closed"),
        ("</Proxy>", "closes nothing: no section is open"),
        ("<A>\n</B>", "conf:2: </B> closes nothing: <A> is open"),
        ('A "x', "a quote"),
        ("A ${NO}", "say --define NO=VALUE"),
        ("Include gone", "conf:1: Include gone: there is no such file"),
        ("Include conf", "an include cycle: conf includes conf"),
        ("Use M", "there is no <Macro M>"),
        ("<Macro M $a>\n</Macro>\nUse M", "takes 1 arguments, 0 are given"),
        ("<Macro M>\nUse M\n</Macro>\nUse M", "macros within one another"),
        ("<Macro M>\n", "<Macro> is not closed"),
        ("<IfVersion ~ 2>\n</IfVersion>", "patterns are not read"),
        ("A " + "x" * (LINE_MOST + 1), f"conf:1: a line of more than {LINE_MOST}"),
        ("A\\\n" * LINE_MOST, "a line of more than"),
        ("<A>\n" * (DEPTH_MOST + 1), f"more than {DEPTH_MOST} sections"),
    ],
)
def test_what_can_not_be_read_is_named_by_file_and_line(text: str, words: str) -> None:
    with pytest.raises(SourceError) as caught:
        tree(text)
    assert words in str(caught.value)


@pytest.mark.parametrize(
    "data, words",
    [
        (b"A\nB \0", "conf:2: a NUL byte"),
        (b"A\n\xff\xfe", "conf:2: byte 2 is not UTF-8"),
        (b"A " + b"x" * (10 << 20), "a line of more than"),
        (b"<A>\n" * 10_000, "sections within one another"),
        (b"x" * (33 << 20), "more than 32 MiB"),
        (b"<Macro M>\n" + b"A\n" * 3000 + b"</Macro>\n" + b"Use M\n" * 3000, "directives in all"),
    ],
    ids=["nul", "encoding", "long line", "deep", "large", "macros"],
)
def test_a_hostile_file_is_refused_in_bounded_time(data: bytes, words: str) -> None:
    with pytest.raises(SourceError) as caught:
        parse(Reading(Raw(data)), "conf", Given(), {})
    assert words in str(caught.value)
    with pytest.raises(SourceError):
        parse_workers(Reading(Raw(data)), "conf", {})


def test_two_files_that_include_each_other() -> None:
    with pytest.raises(SourceError, match="/x includes /y includes /x"):
        tree("Include /x", **{"/x": "Include /y", "/y": "Include /x"})


def test_jk_adds_lists_up_and_expands_what_was_set_before() -> None:
    workers = parse_workers(
        Reading(
            Texts(
                f="p=80$(q)\nworker.a.port=$(p)\nworker.lb.balance_workers=a\nworker.lb.balance_workers=b c"
            )
        ),
        "f",
        {"q": "09"},
    )
    assert workers.of("a")["port"].value == "8009"
    assert workers.of("lb")["balance_workers"].value == "a,b c"
    rules = parse_map(Reading(Texts(m="/a|/*=w;reply_timeout=5\n!/a/b=w\n-/c=w")), "m")
    assert [(r.pattern, r.excluded, sorted(r.options)) for r in rules] == [
        ("/a", False, ["reply_timeout"]),
        ("/a/*", False, ["reply_timeout"]),
        ("/a/b", True, []),
        ("/c", False, ["-"]),
    ]


@pytest.mark.parametrize("line", ["x", "a b=c", "worker.a=b\nx", "worker.a%.port=1", "a=$(none)", "a=$(a)"])
def test_a_bad_line_of_jk_is_named(line: str) -> None:
    with pytest.raises(SourceError, match=r"^f:\d: "):
        parse_workers(Reading(Texts(f=line)), "f", {})


# The order of rules.

PATHS = st.sampled_from(["/", "/a", "/a/b", "/a/b/c", "/b", "/a/x.gif"])
ENDINGS = st.sampled_from([".gif", ".a"])
RULES = st.lists(
    st.one_of(
        st.builds(lambda p, w: Rule(Kind.TREE, p, w), PATHS, st.integers(0, 9)),
        st.builds(lambda p, w: Rule(Kind.UNDER if p != "/" else Kind.TREE, p, w), PATHS, st.integers(0, 9)),
        st.builds(lambda p, w: Rule(Kind.EXACT, p, w), PATHS.filter(lambda p: p != "/"), st.integers(0, 9)),
        st.builds(lambda p, w, e: Rule(Kind.ENDS, p, w, e), PATHS, st.integers(0, 9), ENDINGS),
    ),
    max_size=8,
)  # fmt: skip
ASKED = [
    "/",
    "/a",
    "/a/",
    "/a/b",
    "/a/b/c",
    "/a/b/c/d",
    "/a/x.gif",
    "/a/x.gif/y.a",
    "/x.gif",
    "/b/x.a",
    "/b",
    "/z",
]


def first(rules: list[Rule], path: str) -> object:
    """What the first rule that takes a path leads to; `/a/` lies under `/a`."""
    for rule in rules:
        if path.endswith("/") and path != "/":
            hit = rule.kind in (Kind.TREE, Kind.UNDER) and (rule.path == path[:-1] or takes(rule, path[:-1]))
        else:
            hit = takes(rule, path)
        if hit:
            return rule.what
    return None


@settings(max_examples=400, deadline=None)
@given(rules=RULES)
def test_the_routes_take_what_the_first_rule_took(rules: list[Rule]) -> None:
    placed, _ = arrange(rules)
    routes = Routes(
        [RouteRule(str(n), path=p.path, prefix=p.prefix, suffix=p.suffix) for n, p in enumerate(placed)]
    )
    for path in ASKED:
        found = routes.find("any", path[1:].split("/") if path != "/" else [], "GET", lambda name: None)
        got = placed[int(found.name)].what if found is not None else None
        assert got == first(rules, path), (path, placed)


def test_what_is_never_reached_is_told() -> None:
    rules = [Rule(Kind.TREE, "/a", 1), Rule(Kind.TREE, "/a/b", 2), Rule(Kind.UNDER, "/a", 3)]
    assert arrange(rules) == ([Placed(1, prefix="/a")], rules[1:])


# Fuzz: whatever stands in a file is read or refused by name, and what is written reads as what was meant.

NAMES = st.sampled_from(
    (
        "ProxyPass BalancerMember ProxySet Listen Define Use Location Proxy IfModule ServerAlias VirtualHost Macro "
        "ProxyPassMatch Unknown JkMount"
    ).split()
)
ARGS = st.sampled_from(
    (
        "/ /a/ balancer://x/ balancer://x http://127.0.0.1:80/ http://n/ ! route=a lbset=1 status=+H-D "
        "loadfactor=1.5 8080 "
        "*:80 stickysession=S|s 'q_q' M ^/a/(.*)$ nofailover=On $x"
    ).split()
)
LINES = st.one_of(
    st.builds(lambda n, a: f"{n} {' '.join(a)}", NAMES, st.lists(ARGS, max_size=4)),
    st.builds(lambda n, a: f"<{n} {' '.join(a)}>", NAMES, st.lists(ARGS, max_size=2)),
    st.builds(lambda n: f"</{n}>", NAMES), st.text(max_size=20),
)  # fmt: skip


@settings(max_examples=300, deadline=None)
@given(lines=st.lists(LINES, max_size=14))
def test_any_file_of_httpd_is_read_or_refused_by_name(lines: list[str]) -> None:
    text = "\n".join(lines)
    try:
        made = import_apache(Texts(conf=text), "conf", Options(listen=("127.0.0.1:1",)))
    except SourceError as problem:
        assert problem.place.file == "conf"
        return
    directives = [one for top in tree(text) for one in top.walk()]
    assert len({(line.place, line.name) for line in made.report.lines}) >= len(
        {(one.place, one.name) for one in directives}
    )
    if made.text is not None:
        assert tomllib.loads(made.text) == {k: v for k, v in made.setup.tables().items() if v}


@settings(max_examples=200, deadline=None)
@given(
    lines=st.lists(
        st.builds(
            lambda w, k, v: f"worker.{w}.{k}={v}", st.sampled_from(["a", "b", "lb"]),
            st.sampled_from([*fates.JK_WORKER, *fates.JK_BALANCER, "odd"]),
            st.sampled_from(["lb", "ajp13", "a", "a,b", "8009", "1", "0", "D", "true", "localhost", "n.test", "R"]),
        ),
        max_size=14,
    )
)  # fmt: skip
def test_any_file_of_jk_is_read_and_each_line_told_of(lines: list[str]) -> None:
    files = Texts(w="\n".join(lines), m="/*=lb\n/a/*=a")
    made = import_jk(files, "w", ["m"], Options(listen=("127.0.0.1:1",), connectors={"8009": "8080"}))
    told = {line.place.line for line in made.report.lines if line.place.file == "w"}
    assert told >= set(range(1, len(lines) + 1))


# The command.


def test_the_command_writes_a_file_that_can_be_served_and_refuses_to_guess(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    conf, out = tmp_path / "h.conf", tmp_path / "out.toml"
    conf.write_text("Listen 8080\nServerAdmin x\nProxyPass / http://127.0.0.1:9/\n")
    assert main(["import", "apache", str(conf), "-o", str(out)]) == 1 and not out.exists()
    assert f"BLOCKS  {conf}:2: ServerAdmin" in capsys.readouterr().err
    assert (
        main(["import", "apache", str(conf), "-o", str(out), "--allow", "serveradmin", "--allow", "typo"])
        == 0
    )
    assert "--allow typo: nothing of that name needed it" in capsys.readouterr().err
    assert main(["check", str(out)]) == 0
    assert main(["import", "apache", str(tmp_path / "none")]) == 1
    assert main(["import", "jk", str(conf), "--connector", "8009"]) == 2


def test_names_are_not_looked_up(tmp_path: Path) -> None:
    files = Texts(conf="Listen app.test:80\nProxyPass / http://app.test/\n")
    made = import_apache(files, "conf", Options())
    assert [line.text for line in made.blocking][:2] == [
        "'app.test' is no IPv4 address; say --resolve app.test=ADDRESS",
        "'app.test' is a name; say --resolve app.test=ADDRESS",
    ]
    assert import_apache(files, "conf", Options(resolve={"APP.test": "127.0.0.9"})).text is not None


def test_the_docs_hold_the_tables() -> None:
    page = Path(__file__).parent.parent / "docs" / "operating" / "importing.md"
    assert fates.document().strip() in page.read_text()


def test_every_fate_of_none_in_a_table_blocks() -> None:
    for key, entry in fates.HTTPD.items():
        if entry.fate == Fate.NONE and not key.startswith("proxypass") and key != "locationmatch":
            made = import_apache(Texts(conf=f"{key} x y"), "conf", Options())
            assert [line.name for line in made.blocking] == [key]


def test_many_members_are_imported_in_time_that_grows_with_their_number() -> None:
    def took(count: int) -> float:
        members = "".join(
            f"BalancerMember http://10.{n >> 14}.{n >> 7 & 127}.{n & 127}:80\n" for n in range(count)
        )
        text = f"Listen 80\n<Proxy balancer://b>\n{members}</Proxy>\nProxyPass / balancer://b/\n"
        began = time.perf_counter()
        assert import_apache(Texts(conf=text), "conf", Options()).text is not None
        return time.perf_counter() - began

    took(100)
    assert took(2000) < 60 * max(0.001, took(200))  # squared, it would be a hundred times
