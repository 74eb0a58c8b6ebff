"""Tests of the importer's parsers, of the conversion of rules into routes, and of the import command."""

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
from loadbalancer.importer.httpd import Directive, HttpdEnvironment, parse
from loadbalancer.importer.imports import Options, import_apache, import_jk
from loadbalancer.importer.jk import parse_map, parse_workers
from loadbalancer.importer.order import RouteMatch, Rule, RuleKind, arrange, matches
from loadbalancer.importer.report import Outcome
from loadbalancer.importer.source import MAX_LINE_CHARS, MAX_SECTION_DEPTH, SourceError, SourceReader
from loadbalancer.routing.routes import Routes
from loadbalancer.routing.routes import Rule as RouteRule


class RawFile(Texts):
    """Serves the same bytes for any file name."""

    def __init__(self, data: bytes) -> None:
        super().__init__()
        self.data = data

    def read(self, path: str) -> bytes:
        return self.data


def parse_text(text: str, **files: str) -> list[Directive]:
    return parse(SourceReader(Texts(conf=text, **files)), "conf", HttpdEnvironment(), {})[0]


def active_directives(text: str, **files: str) -> list[str]:
    """Return the active directives of a file in order, one string each."""
    return [
        f"{directive.name} {' '.join(directive.args)}".strip()
        for root in parse_text(text, **files)
        for directive in root.walk()
        if not directive.inactive_reason
    ]


@pytest.mark.parametrize(
    "text, expected",
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
def test_httpd_files_are_parsed_into_active_directives(text: str, expected: list[str]) -> None:
    assert active_directives(text, **{"/etc/h/x.conf": "A in"}) == expected


@pytest.mark.parametrize(
    "text, message",
    [
        ("A\n<Proxy x>", "conf:2: <Proxy> is not closed"),
        ("</Proxy>", "closes nothing: no section is open"),
        ("<A>\n</B>", "conf:2: </B> closes nothing: <A> is open"),
        ('A "x', "a quote"),
        ("A ${NO}", "use --define NO=VALUE"),
        ("Include gone", "conf:1: Include gone: there is no such file"),
        ("Include conf", "an include cycle: conf includes conf"),
        ("Use M", "there is no <Macro M>"),
        ("<Macro M $a>\n</Macro>\nUse M", "takes 1 arguments, 0 are given"),
        ("<Macro M>\nUse M\n</Macro>\nUse M", "nested macro uses"),
        ("<Macro M>\n", "<Macro> is not closed"),
        ("<IfVersion ~ 2>\n</IfVersion>", "patterns are not supported"),
        ("A " + "x" * (MAX_LINE_CHARS + 1), f"conf:1: a line of more than {MAX_LINE_CHARS}"),
        ("A\\\n" * MAX_LINE_CHARS, "a line of more than"),
        ("<A>\n" * (MAX_SECTION_DEPTH + 1), f"more than {MAX_SECTION_DEPTH} nested sections"),
    ],
)
def test_parse_error_names_file_and_line(text: str, message: str) -> None:
    with pytest.raises(SourceError) as caught:
        parse_text(text)
    assert message in str(caught.value)


@pytest.mark.parametrize(
    "data, message",
    [
        (b"A\nB \0", "conf:2: a NUL byte"),
        (b"A\n\xff\xfe", "conf:2: byte 2 is not UTF-8"),
        (b"A " + b"x" * (10 << 20), "a line of more than"),
        (b"<A>\n" * 10_000, "nested sections"),
        (b"x" * (33 << 20), "more than 32 MiB"),
        (b"<Macro M>\n" + b"A\n" * 3000 + b"</Macro>\n" + b"Use M\n" * 3000, "directives in all"),
    ],
    ids=["nul", "encoding", "long line", "deep", "large", "macros"],
)
def test_a_hostile_file_is_refused_in_bounded_time(data: bytes, message: str) -> None:
    with pytest.raises(SourceError) as caught:
        parse(SourceReader(RawFile(data)), "conf", HttpdEnvironment(), {})
    assert message in str(caught.value)
    with pytest.raises(SourceError):
        parse_workers(SourceReader(RawFile(data)), "conf", {})


def test_include_cycle_is_refused() -> None:
    with pytest.raises(SourceError, match="/x includes /y includes /x"):
        parse_text("Include /x", **{"/x": "Include /y", "/y": "Include /x"})


def test_jk_lists_accumulate_and_references_are_expanded() -> None:
    workers = parse_workers(
        SourceReader(
            Texts(
                f="p=80$(q)\nworker.a.port=$(p)\nworker.lb.balance_workers=a\nworker.lb.balance_workers=b c"
            )
        ),
        "f",
        {"q": "09"},
    )
    assert workers.properties_of("a")["port"].value == "8009"
    assert workers.properties_of("lb")["balance_workers"].value == "a,b c"
    rules = parse_map(SourceReader(Texts(m="/a|/*=w;reply_timeout=5\n!/a/b=w\n-/c=w")), "m")
    assert [(r.pattern, r.excluded, sorted(r.options)) for r in rules] == [
        ("/a", False, ["reply_timeout"]),
        ("/a/*", False, ["reply_timeout"]),
        ("/a/b", True, []),
        ("/c", False, ["-"]),
    ]


@pytest.mark.parametrize("line", ["x", "a b=c", "worker.a=b\nx", "worker.a%.port=1", "a=$(none)", "a=$(a)"])
def test_invalid_jk_line_is_refused_with_its_position(line: str) -> None:
    with pytest.raises(SourceError, match=r"^f:\d: "):
        parse_workers(SourceReader(Texts(f=line)), "f", {})


# Conversion of ordered rules into routes.

PATHS = st.sampled_from(["/", "/a", "/a/b", "/a/b/c", "/b", "/a/x.gif"])
ENDINGS = st.sampled_from([".gif", ".a"])
RULES = st.lists(
    st.one_of(
        st.builds(lambda p, w: Rule(RuleKind.TREE, p, w), PATHS, st.integers(0, 9)),
        st.builds(lambda p, w: Rule(RuleKind.UNDER if p != "/" else RuleKind.TREE, p, w), PATHS, st.integers(0, 9)),
        st.builds(lambda p, w: Rule(RuleKind.EXACT, p, w), PATHS.filter(lambda p: p != "/"), st.integers(0, 9)),
        st.builds(lambda p, w, e: Rule(RuleKind.SUFFIX, p, w, e), PATHS, st.integers(0, 9), ENDINGS),
    ),
    max_size=8,
)  # fmt: skip
REQUEST_PATHS = [
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


def first_match(rules: list[Rule], path: str) -> object:
    """Return the target of the first rule that matches a path, where `/a/` lies below `/a`."""
    for rule in rules:
        if path.endswith("/") and path != "/":
            hit = rule.kind in (RuleKind.TREE, RuleKind.UNDER) and (
                rule.path == path[:-1] or matches(rule, path[:-1])
            )
        else:
            hit = matches(rule, path)
        if hit:
            return rule.target
    return None


@settings(max_examples=400, deadline=None)
@given(rules=RULES)
def test_routes_match_what_the_first_matching_rule_matches(rules: list[Rule]) -> None:
    arranged, _ = arrange(rules)
    routes = Routes(
        [RouteRule(str(n), path=p.path, prefix=p.prefix, suffix=p.suffix) for n, p in enumerate(arranged)]
    )
    for path in REQUEST_PATHS:
        found = routes.find("any", path[1:].split("/") if path != "/" else [], "GET", lambda name: None)
        target = arranged[int(found.name)].target if found is not None else None
        assert target == first_match(rules, path), (path, arranged)


def test_unreachable_rules_are_returned() -> None:
    rules = [Rule(RuleKind.TREE, "/a", 1), Rule(RuleKind.TREE, "/a/b", 2), Rule(RuleKind.UNDER, "/a", 3)]
    assert arrange(rules) == ([RouteMatch(1, prefix="/a")], rules[1:])


# Fuzz tests: any file is either translated or refused with a position, and the result parses into the same tables.

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
def test_any_httpd_file_is_translated_or_refused_with_a_position(lines: list[str]) -> None:
    text = "\n".join(lines)
    try:
        result = import_apache(Texts(conf=text), "conf", Options(listen=("127.0.0.1:1",)))
    except SourceError as problem:
        assert problem.position.file == "conf"
        return
    directives = [directive for root in parse_text(text) for directive in root.walk()]
    assert len({(line.position, line.name) for line in result.report.lines}) >= len(
        {(directive.position, directive.name) for directive in directives}
    )
    if result.text is not None:
        assert tomllib.loads(result.text) == {k: v for k, v in result.setup.tables().items() if v}


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
def test_any_jk_file_is_translated_and_each_line_reported(lines: list[str]) -> None:
    files = Texts(w="\n".join(lines), m="/*=lb\n/a/*=a")
    result = import_jk(files, "w", ["m"], Options(listen=("127.0.0.1:1",), connectors={"8009": "8080"}))
    reported = {line.position.line for line in result.report.lines if line.position.file == "w"}
    assert reported >= set(range(1, len(lines) + 1))


# The import command.


def test_import_command_writes_a_valid_file_and_refuses_directives_without_equivalent(
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


def test_host_names_are_not_resolved(tmp_path: Path) -> None:
    files = Texts(conf="Listen app.test:80\nProxyPass / http://app.test/\n")
    result = import_apache(files, "conf", Options())
    assert [line.text for line in result.blocking][:2] == [
        "'app.test' is not an IPv4 address; use --resolve app.test=ADDRESS",
        "'app.test' is a host name; use --resolve app.test=ADDRESS",
    ]
    assert import_apache(files, "conf", Options(resolve={"APP.test": "127.0.0.9"})).text is not None


def test_documentation_holds_the_tables() -> None:
    page = Path(__file__).parent.parent / "docs" / "operating" / "importing.md"
    assert fates.document().strip() in page.read_text()


def test_every_directive_without_equivalent_blocks_the_import() -> None:
    for key, entry in fates.HTTPD.items():
        if entry.outcome == Outcome.NONE and not key.startswith("proxypass") and key != "locationmatch":
            result = import_apache(Texts(conf=f"{key} x y"), "conf", Options())
            assert [line.name for line in result.blocking] == [key]


def test_import_time_grows_linearly_with_the_number_of_members() -> None:
    def import_seconds(count: int) -> float:
        members = "".join(
            f"BalancerMember http://10.{n >> 14}.{n >> 7 & 127}.{n & 127}:80\n" for n in range(count)
        )
        text = f"Listen 80\n<Proxy balancer://b>\n{members}</Proxy>\nProxyPass / balancer://b/\n"
        start = time.perf_counter()
        assert import_apache(Texts(conf=text), "conf", Options()).text is not None
        return time.perf_counter() - start

    import_seconds(100)
    # Quadratic growth would give a factor of 100.
    assert import_seconds(2000) < 60 * max(0.001, import_seconds(200))
