"""The configuration language of httpd: text into a tree of directives, with what it includes, defines and expands.

Grammar (httpd's manual, "Configuration Files"): a directive a line, a name and arguments in words, quotes around words
that hold spaces, sections `<Name arguments>` to `</Name>`, names in any case. What the language itself decides
(Include, Define, IfModule, IfDefine, IfVersion, Macro and Use) is decided here; what a directive means is meaning.py's.
Nothing is dropped: a directive in a section that is not in force stays in the tree, marked with why.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Iterator, Mapping, Sequence

from loadbalancer.importer.source import (
    DEPTH_MOST,
    INCLUDES_MOST,
    Place,
    Reading,
    SourceError,
    logical_lines,
)  # fmt: skip

VARIABLE = re.compile(r"\$\{([^${}\s]+)\}")
SECTION = re.compile(r"<\s*(/?)\s*([A-Za-z][A-Za-z0-9_.]*)\s*(.*?)\s*(>?)$", re.DOTALL)
VERSION = re.compile(r"(\d+)(?:\.(\d+))?(?:\.(\d+))?$")
#: What a proxy of httpd can't be without; a condition on any of these holds though no LoadModule names it.
ALWAYS = frozenset((
    "core", "core.c", "core_module", "mod_so.c", "so_module", "http_core.c", "http_module", "mod_proxy.c",
    "proxy_module",
    "mod_proxy_http.c", "proxy_http_module", "mod_proxy_balancer.c", "proxy_balancer_module",
))  # fmt: skip


@dataclass(slots=True)
class Directive:
    """One directive, or a section with what stands in it."""

    name: str  # as it is written
    args: list[str]
    place: Place
    children: list[Directive] | None = None  # of a section
    idle: str = ""  # why it is not in force

    @property
    def key(self) -> str:
        return self.name.lower()

    def walk(self) -> Iterator[Directive]:
        """This one and all within it, in order."""
        stack = [self]
        while stack:
            one = stack.pop()
            yield one
            stack.extend(reversed(one.children or ()))


@dataclass(slots=True)
class Given:
    """What the command line of httpd, or its build, says: the import is told, it does not look."""

    modules: set[str] = field(default_factory=set)
    version: tuple[int, int, int] = (2, 4, 62)
    root: str = ""  # ServerRoot, that relative names of included files start from


@dataclass(slots=True)
class _Macro:
    name: str
    params: list[str]
    body: list[tuple[int, str]]
    file: str


@dataclass(slots=True)
class _Frame:
    """A section that is open. `into`: where its directives go, also those of a condition's section."""

    directive: Directive
    into: list[Directive]
    idle: str


def words(text: str, place: Place) -> list[str]:
    """The arguments of a directive: words, or what stands between quotes, in which a backslash keeps a quote."""
    found: list[str] = []
    at = 0
    while at < len(text):
        if text[at].isspace():
            at += 1
        elif text[at] in "\"'":
            quote, word, at = text[at], [], at + 1
            while at < len(text) and text[at] != quote:
                if text[at] == "\\" and text[at + 1 : at + 2] in (quote, "\\"):
                    at += 1
                word.append(text[at])
                at += 1
            if at >= len(text):
                raise SourceError(place, f"a quote {quote} that is not closed")
            at += 1
            found.append("".join(word))
        else:
            end = at
            while end < len(text) and not text[end].isspace():
                end += 1
            found.append(text[at:end])
            at = end
    return found


class Parser:
    """Reads files into one tree. It is used once."""

    def __init__(self, reading: Reading, given: Given) -> None:
        self.reading, self.given = reading, given
        self.variables: dict[str, str] = {}
        self.modules = {name.lower() for name in given.modules} | ALWAYS
        self.macros: dict[str, _Macro] = {}
        self.files: list[str] = []  # that are open, each included by the one before
        self.top: list[Directive] = []
        self.open: list[_Frame] = []
        self.root = given.root
        self._recording: tuple[_Macro, Directive] | None = None

    def parse(self, path: str) -> list[Directive]:
        """The directives of a file and of all that it includes; SourceError at the first that can't be read."""
        self._file(path, None)
        return self.top

    def _file(self, path: str, by: Place | None) -> None:
        if path in self.files:
            cycle = " includes ".join([*self.files[self.files.index(path) :], path])
            raise SourceError(by or Place(path, 0), f"an include cycle: {cycle}")
        if len(self.files) >= INCLUDES_MOST:
            raise SourceError(by or Place(path, 0), f"more than {INCLUDES_MOST} files within one another")
        depth = len(self.open)
        self.files.append(path)
        for number, line in logical_lines(self.reading.text(path, by), path):
            self._line(line, Place(path, number))
        self.files.pop()
        if self._recording is not None:
            raise SourceError(self._recording[1].place, "<Macro> is not closed in its file")
        if len(self.open) != depth:
            frame = self.open[-1].directive
            raise SourceError(frame.place, f"<{frame.name}> is not closed in its file")

    def _line(self, line: str, place: Place) -> None:
        if self._recording is not None:
            self._record(line, place)
            return
        line = self._substitute(line, place)
        if line.startswith("<"):
            self._section(line, place)
            return
        name, _, rest = line.partition(" ") if " " in line else line.partition("\t")
        if "\t" in name:
            name, _, more = name.partition("\t")
            rest = f"{more} {rest}"
        self._directive(Directive(name, words(rest, place), place))

    def _substitute(self, line: str, place: Place) -> str:
        """`${NAME}` of Define. One that is not defined is left as it stands by httpd, with a warning: here it is an
        error, since what the environment of httpd holds is not known."""
        if "${" not in line or (self.open and self.open[-1].idle):
            return line

        def value(match: re.Match[str]) -> str:
            if match[1] not in self.variables:
                raise SourceError(place, f"${{{match[1]}}} is not defined; say --define {match[1]}=VALUE")
            return self.variables[match[1]]

        return VARIABLE.sub(value, line)

    def _into(self) -> list[Directive]:
        return self.open[-1].into if self.open else self.top

    def _idle(self) -> str:
        return self.open[-1].idle if self.open else ""

    # Directives that the language itself takes.

    def _directive(self, made: Directive) -> None:
        self.reading.count(made.place)
        made.idle = self._idle()
        self._into().append(made)
        if made.idle:
            return
        if made.key in ("include", "includeoptional"):
            self._include(made)
        elif made.key == "define":
            self._define(made)
        elif made.key == "undefine":
            for name in made.args[:1]:
                self.variables.pop(name, None)
        elif made.key == "loadmodule" and made.args:
            self.modules.add(made.args[0].lower())
            if len(made.args) > 1:  # modules/mod_x.so: conditions may name it by its source, mod_x.c
                self.modules.add(made.args[1].rpartition("/")[2].removesuffix(".so").lower() + ".c")
        elif made.key == "serverroot" and made.args:
            self.root = made.args[0]
        elif made.key == "use":
            self._use(made)

    def _define(self, made: Directive) -> None:
        if not 1 <= len(made.args) <= 2:
            raise SourceError(made.place, "Define takes a name, and a value if any")
        self.variables[made.args[0]] = made.args[1] if len(made.args) == 2 else ""

    def _include(self, made: Directive) -> None:
        if len(made.args) != 1:
            raise SourceError(made.place, f"{made.name} takes one file, folder or pattern")
        wanted = made.args[0]
        if not wanted.startswith("/"):
            base = self.root or self.files[0].rpartition("/")[0]
            wanted = f"{base}/{wanted}" if base else wanted
        plain = not any(c in wanted for c in "*?[")
        names = self.reading.opener.match(wanted)
        if not names and made.key == "include":
            what = "there is no such file" if plain else "the pattern names no file"
            raise SourceError(
                made.place, f"Include {made.args[0]}: {what}; IncludeOptional would pass that over"
            )
        for name in names:
            self._file(name, made.place)

    # Macros.

    def _record(self, line: str, place: Place) -> None:
        assert self._recording is not None
        macro, section = self._recording
        match = SECTION.match(line)
        if match and match[2].lower() == "macro":
            if not match[1]:
                raise SourceError(place, "a <Macro> within a <Macro>")
            self._recording = None
            return
        macro.body.append((place.line, line))
        self.reading.count(place)

    def _use(self, made: Directive) -> None:
        if not made.args:
            raise SourceError(made.place, "Use takes the name of a macro and its arguments")
        macro = self.macros.get(made.args[0].lower())
        if macro is None:
            raise SourceError(made.place, f"there is no <Macro {made.args[0]}> before this")
        given = made.args[1:]
        if len(given) != len(macro.params):
            raise SourceError(
                made.place, f"macro {macro.name} takes {len(macro.params)} arguments, {len(given)} are given"
            )
        if made.place.via.count(" in ") >= INCLUDES_MOST:
            raise SourceError(made.place, f"more than {INCLUDES_MOST} macros within one another")
        via = f"Use {macro.name} at {made.place.file}:{made.place.line}"
        via += f" in {made.place.via}" if made.place.via else ""
        # The longest names first, so that $a does not take a part of $ab.
        pairs = sorted(zip(macro.params, given, strict=True), key=lambda pair: -len(pair[0]))
        depth = len(self.open)
        for number, line in macro.body:
            for name, value in pairs:
                line = line.replace(name, value)
            self._line(line, Place(macro.file, number, via))
        if len(self.open) != depth:
            raise SourceError(made.place, f"macro {macro.name} leaves a section open")

    # Sections.

    def _section(self, line: str, place: Place) -> None:
        match = SECTION.match(line)
        if match is None or not match[4]:
            raise SourceError(place, f"{line[:40]!r} is no section; <Name ...> or </Name> is wanted")
        if match[1]:
            self._close(match[2], place)
            return
        self.reading.count(place)
        made = Directive(match[2], words(match[3], place), place, [], self._idle())
        if len(self.open) >= DEPTH_MOST:
            raise SourceError(place, f"more than {DEPTH_MOST} sections within one another")
        self._into().append(made)
        if made.key == "macro" and not made.idle:
            self._begin_macro(made)
            return
        idle = made.idle or self._untrue(made)
        assert made.children is not None
        self.open.append(_Frame(made, made.children, idle))

    def _begin_macro(self, made: Directive) -> None:
        if not made.args:
            raise SourceError(made.place, "<Macro> takes a name and its parameters")
        name, *params = made.args
        if bad := next((p for p in params if p[:1] not in "$%@" or len(p) < 2), None):
            raise SourceError(made.place, f"parameter {bad!r}: one of $ % @ and a name is wanted")
        macro = self.macros[name.lower()] = _Macro(name, params, [], made.place.file)
        self._recording = macro, made

    def _close(self, name: str, place: Place) -> None:
        if not self.open or self.open[-1].directive.key != name.lower():
            found = f"<{self.open[-1].directive.name}> is open" if self.open else "no section is open"
            raise SourceError(place, f"</{name}> closes nothing: {found}")
        self.open.pop()

    def _untrue(self, made: Directive) -> str:
        """Why what stands in a section of a condition is not in force; empty where it is, and for other sections."""
        if made.key not in ("ifmodule", "ifdefine", "ifversion", "iffile"):
            return ""
        if not made.args:
            raise SourceError(made.place, f"<{made.name}> takes a condition")
        if made.key == "ifversion":
            true = self._is_version(made)
        else:
            name = made.args[0]
            bare = name.removeprefix("!")
            if made.key == "ifmodule":
                true = bare.lower() in self.modules
            elif made.key == "ifdefine":
                true = bare in self.variables
            else:
                true = bool(self.reading.opener.match(bare))
            true = true != name.startswith("!")
        return "" if true else f"<{made.name} {' '.join(made.args)}> does not hold"

    def _is_version(self, made: Directive) -> bool:
        args = list(made.args)
        sign = args.pop(0) if len(args) > 1 else "="
        turned = sign.startswith("!")
        match = VERSION.match(args[0])
        if match is None or sign.removeprefix("!") not in ("=", "==", ">", ">=", "<", "<="):
            raise SourceError(
                made.place, "<IfVersion> takes =, >, >=, < or <= and a version; patterns are not read"
            )
        wanted = tuple(int(part) for part in match.groups() if part is not None)
        mine: Sequence[int] = self.given.version[: len(wanted)]
        mine = tuple(mine)
        true = {
            "=": mine == wanted,
            "==": mine == wanted,
            ">": mine > wanted,
            ">=": mine >= wanted,
            "<": mine < wanted,
            "<=": mine <= wanted,
        }[sign.removeprefix("!")]
        return true != turned


def parse(
    reading: Reading, path: str, given: Given, variables: Mapping[str, str]
) -> tuple[list[Directive], Mapping[str, str]]:
    """The tree of a file, and the variables that were given and that it has defined."""
    parser = Parser(reading, given)
    parser.variables.update(variables)
    return parser.parse(path), parser.variables
