"""Parses the configuration language of httpd into a tree of directives.

Grammar (httpd's manual, "Configuration Files"): each line holds a directive, that is a name and arguments; arguments
with spaces are quoted; sections run from `<Name arguments>` to `</Name>`; names are case-insensitive. This module
evaluates the directives of the language itself (Include, Define, IfModule, IfDefine, IfVersion, Macro and Use);
meaning.py translates the others. Nothing is dropped: a directive in a section whose condition is false stays in the
tree, together with the reason why it is inactive.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Iterator, Mapping, Sequence

from loadbalancer.importer.source import (
    MAX_INCLUDE_DEPTH,
    MAX_SECTION_DEPTH,
    Position,
    SourceError,
    SourceReader,
    logical_lines,
)  # fmt: skip

VARIABLE = re.compile(r"\$\{([^${}\s]+)\}")
SECTION = re.compile(r"<\s*(/?)\s*([A-Za-z][A-Za-z0-9_.]*)\s*(.*?)\s*(>?)$", re.DOTALL)
VERSION = re.compile(r"(\d+)(?:\.(\d+))?(?:\.(\d+))?$")
#: Modules that every httpd proxy has: <IfModule> is true for them even if no LoadModule names them.
BUILT_IN_MODULES = frozenset((
    "core", "core.c", "core_module", "mod_so.c", "so_module", "http_core.c", "http_module", "mod_proxy.c",
    "proxy_module",
    "mod_proxy_http.c", "proxy_http_module", "mod_proxy_balancer.c", "proxy_balancer_module",
))  # fmt: skip


@dataclass(slots=True)
class Directive:
    """Holds one directive, or a section with the directives in it."""

    name: str  # as it is written in the file
    args: list[str]
    position: Position
    children: list[Directive] | None = None  # None unless it is a section
    inactive_reason: str = ""  # why it has no effect; empty if it is active

    @property
    def key(self) -> str:
        return self.name.lower()

    def walk(self) -> Iterator[Directive]:
        """Yield this directive and all directives within it, in file order."""
        stack = [self]
        while stack:
            directive = stack.pop()
            yield directive
            stack.extend(reversed(directive.children or ()))


@dataclass(slots=True)
class HttpdEnvironment:
    """Describes the build and command line of httpd as the caller gives them; the importer doesn't inspect httpd."""

    modules: set[str] = field(default_factory=set)
    version: tuple[int, int, int] = (2, 4, 62)
    server_root: str = ""  # ServerRoot, against which relative names of included files are resolved


@dataclass(slots=True)
class _Macro:
    """Holds the definition of a macro; `body` has the line numbers and the unexpanded lines."""

    name: str
    params: list[str]
    body: list[tuple[int, str]]
    file: str


@dataclass(slots=True)
class _Frame:
    """Holds a section that is not closed yet, and the list to which its directives are added."""

    directive: Directive
    destination: list[Directive]
    inactive_reason: str


def split_arguments(text: str, position: Position) -> list[str]:
    """Split the arguments of a directive at white space, except inside quotes, where a backslash escapes a quote."""
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
                raise SourceError(position, f"a quote {quote} that is not closed")
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
    """Parses a file and all files that it includes into one tree. An instance is used once."""

    def __init__(self, reader: SourceReader, environment: HttpdEnvironment) -> None:
        self.reader, self.environment = reader, environment
        self.variables: dict[str, str] = {}
        self.modules = {name.lower() for name in environment.modules} | BUILT_IN_MODULES
        self.macros: dict[str, _Macro] = {}
        self.open_files: list[str] = []  # each is included by the one before it
        self.roots: list[Directive] = []
        self.open_sections: list[_Frame] = []
        self.server_root = environment.server_root
        self._recording: tuple[_Macro, Directive] | None = None

    def parse(self, path: str) -> list[Directive]:
        """Return the directives of a file and its included files; raise SourceError at the first invalid one."""
        self._parse_file(path, None)
        return self.roots

    def _parse_file(self, path: str, included_at: Position | None) -> None:
        if path in self.open_files:
            cycle = " includes ".join([*self.open_files[self.open_files.index(path) :], path])
            raise SourceError(included_at or Position(path, 0), f"an include cycle: {cycle}")
        if len(self.open_files) >= MAX_INCLUDE_DEPTH:
            raise SourceError(
                included_at or Position(path, 0),
                f"more than {MAX_INCLUDE_DEPTH} nested included files",
            )
        depth = len(self.open_sections)
        self.open_files.append(path)
        for number, line in logical_lines(self.reader.read_text(path, included_at), path):
            self._parse_line(line, Position(path, number))
        self.open_files.pop()
        if self._recording is not None:
            raise SourceError(self._recording[1].position, "<Macro> is not closed in its file")
        if len(self.open_sections) != depth:
            frame = self.open_sections[-1].directive
            raise SourceError(frame.position, f"<{frame.name}> is not closed in its file")

    def _parse_line(self, line: str, position: Position) -> None:
        if self._recording is not None:
            self._record_macro_line(line, position)
            return
        line = self._substitute(line, position)
        if line.startswith("<"):
            self._parse_section(line, position)
            return
        name, _, rest = line.partition(" ") if " " in line else line.partition("\t")
        if "\t" in name:
            name, _, more = name.partition("\t")
            rest = f"{more} {rest}"
        self._add_directive(Directive(name, split_arguments(rest, position), position))

    def _substitute(self, line: str, position: Position) -> str:
        """Replace each `${NAME}` by the value that Define gave it.

        An undefined name is an error here, since the environment of httpd is unknown; httpd leaves it in place with a
        warning.
        """
        if "${" not in line or (self.open_sections and self.open_sections[-1].inactive_reason):
            return line

        def value(match: re.Match[str]) -> str:
            if match[1] not in self.variables:
                raise SourceError(position, f"${{{match[1]}}} is not defined; use --define {match[1]}=VALUE")
            return self.variables[match[1]]

        return VARIABLE.sub(value, line)

    def _destination(self) -> list[Directive]:
        """Return the list to which the next directive is added."""
        return self.open_sections[-1].destination if self.open_sections else self.roots

    def _inactive_reason(self) -> str:
        return self.open_sections[-1].inactive_reason if self.open_sections else ""

    # Directives of the language itself.

    def _add_directive(self, directive: Directive) -> None:
        self.reader.count_directive(directive.position)
        directive.inactive_reason = self._inactive_reason()
        self._destination().append(directive)
        if directive.inactive_reason:
            return
        if directive.key in ("include", "includeoptional"):
            self._include(directive)
        elif directive.key == "define":
            self._define(directive)
        elif directive.key == "undefine":
            for name in directive.args[:1]:
                self.variables.pop(name, None)
        elif directive.key == "loadmodule" and directive.args:
            self.modules.add(directive.args[0].lower())
            if len(directive.args) > 1:  # <IfModule> may name modules/mod_x.so by its source file, mod_x.c
                self.modules.add(directive.args[1].rpartition("/")[2].removesuffix(".so").lower() + ".c")
        elif directive.key == "serverroot" and directive.args:
            self.server_root = directive.args[0]
        elif directive.key == "use":
            self._expand_macro(directive)

    def _define(self, directive: Directive) -> None:
        if not 1 <= len(directive.args) <= 2:
            raise SourceError(
                directive.position,
                f"Define takes a name and an optional value, not {len(directive.args)} arguments",
            )
        self.variables[directive.args[0]] = directive.args[1] if len(directive.args) == 2 else ""

    def _include(self, directive: Directive) -> None:
        if len(directive.args) != 1:
            raise SourceError(
                directive.position,
                f"{directive.name} takes one file, directory or pattern, not {len(directive.args)} arguments",
            )
        pattern = directive.args[0]
        if not pattern.startswith("/"):
            base = self.server_root or self.open_files[0].rpartition("/")[0]
            pattern = f"{base}/{pattern}" if base else pattern
        plain = not any(c in pattern for c in "*?[")
        names = self.reader.opener.match(pattern)
        if not names and directive.key == "include":
            failure = "there is no such file" if plain else "no file matches the pattern"
            raise SourceError(
                directive.position,
                f"Include {directive.args[0]}: {failure}; IncludeOptional would ignore that",
            )
        for name in names:
            self._parse_file(name, directive.position)

    # Macros.

    def _record_macro_line(self, line: str, position: Position) -> None:
        assert self._recording is not None
        macro, section = self._recording
        match = SECTION.match(line)
        if match and match[2].lower() == "macro":
            if not match[1]:
                raise SourceError(position, "a <Macro> within a <Macro>")
            self._recording = None
            return
        macro.body.append((position.line, line))
        self.reader.count_directive(position)

    def _expand_macro(self, directive: Directive) -> None:
        """Parse the lines of a macro with its parameters replaced by the arguments of a Use directive."""
        if not directive.args:
            raise SourceError(
                directive.position, "Use takes the name of a macro and its arguments; no name is given"
            )
        macro = self.macros.get(directive.args[0].lower())
        if macro is None:
            raise SourceError(directive.position, f"there is no <Macro {directive.args[0]}> before this")
        arguments = directive.args[1:]
        if len(arguments) != len(macro.params):
            raise SourceError(
                directive.position,
                f"macro {macro.name} takes {len(macro.params)} arguments, {len(arguments)} are given",
            )
        if directive.position.via.count(" in ") >= MAX_INCLUDE_DEPTH:
            raise SourceError(directive.position, f"more than {MAX_INCLUDE_DEPTH} nested macro uses")
        via = f"Use {macro.name} at {directive.position.file}:{directive.position.line}"
        via += f" in {directive.position.via}" if directive.position.via else ""
        # Replace the longest names first, so that $a does not match a part of $ab.
        pairs = sorted(zip(macro.params, arguments, strict=True), key=lambda pair: -len(pair[0]))
        depth = len(self.open_sections)
        for number, line in macro.body:
            for name, value in pairs:
                line = line.replace(name, value)
            self._parse_line(line, Position(macro.file, number, via))
        if len(self.open_sections) != depth:
            raise SourceError(directive.position, f"macro {macro.name} leaves a section open")

    # Sections.

    def _parse_section(self, line: str, position: Position) -> None:
        match = SECTION.match(line)
        if match is None or not match[4]:
            raise SourceError(position, f"{line[:40]!r} is not a section; expected <Name ...> or </Name>")
        if match[1]:
            self._close_section(match[2], position)
            return
        self.reader.count_directive(position)
        directive = Directive(
            match[2], split_arguments(match[3], position), position, [], self._inactive_reason()
        )
        if len(self.open_sections) >= MAX_SECTION_DEPTH:
            raise SourceError(position, f"more than {MAX_SECTION_DEPTH} nested sections")
        self._destination().append(directive)
        if directive.key == "macro" and not directive.inactive_reason:
            self._begin_macro(directive)
            return
        inactive_reason = directive.inactive_reason or self._unmet_condition(directive)
        assert directive.children is not None
        self.open_sections.append(_Frame(directive, directive.children, inactive_reason))

    def _begin_macro(self, directive: Directive) -> None:
        if not directive.args:
            raise SourceError(directive.position, "<Macro> takes a name and its parameters; no name is given")
        name, *params = directive.args
        if bad := next((p for p in params if p[:1] not in "$%@" or len(p) < 2), None):
            raise SourceError(directive.position, f"parameter {bad!r}: expected one of $ % @ and a name")
        macro = self.macros[name.lower()] = _Macro(name, params, [], directive.position.file)
        self._recording = macro, directive

    def _close_section(self, name: str, position: Position) -> None:
        if not self.open_sections or self.open_sections[-1].directive.key != name.lower():
            found = (
                f"<{self.open_sections[-1].directive.name}> is open"
                if self.open_sections
                else "no section is open"
            )
            raise SourceError(position, f"</{name}> closes nothing: {found}")
        self.open_sections.pop()

    def _unmet_condition(self, directive: Directive) -> str:
        """Return why the content of a section is inactive; empty if its condition is true or it isn't a condition."""
        if directive.key not in ("ifmodule", "ifdefine", "ifversion", "iffile"):
            return ""
        if not directive.args:
            raise SourceError(directive.position, f"<{directive.name}> takes a condition; none is given")
        if directive.key == "ifversion":
            holds = self._version_matches(directive)
        else:
            name = directive.args[0]
            bare = name.removeprefix("!")
            if directive.key == "ifmodule":
                holds = bare.lower() in self.modules
            elif directive.key == "ifdefine":
                holds = bare in self.variables
            else:
                holds = bool(self.reader.opener.match(bare))
            holds = holds != name.startswith("!")
        return "" if holds else f"<{directive.name} {' '.join(directive.args)}> does not hold"

    def _version_matches(self, directive: Directive) -> bool:
        args = list(directive.args)
        operator = args.pop(0) if len(args) > 1 else "="
        negated = operator.startswith("!")
        match = VERSION.match(args[0])
        if match is None or operator.removeprefix("!") not in ("=", "==", ">", ">=", "<", "<="):
            raise SourceError(
                directive.position,
                "<IfVersion>: expected =, >, >=, < or <= and a version; patterns are not supported",
            )
        expected = tuple(int(part) for part in match.groups() if part is not None)
        current: Sequence[int] = self.environment.version[: len(expected)]
        current = tuple(current)
        holds = {
            "=": current == expected,
            "==": current == expected,
            ">": current > expected,
            ">=": current >= expected,
            "<": current < expected,
            "<=": current <= expected,
        }[operator.removeprefix("!")]
        return holds != negated


def parse(
    reader: SourceReader, path: str, environment: HttpdEnvironment, variables: Mapping[str, str]
) -> tuple[list[Directive], Mapping[str, str]]:
    """Return the directive tree of a file, and the variables with those that the file defines."""
    parser = Parser(reader, environment)
    parser.variables.update(variables)
    return parser.parse(path), parser.variables
