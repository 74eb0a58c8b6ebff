"""Tests of the control verbs: their output, exit codes and errors."""

from __future__ import annotations

import io
import json
import subprocess
import sys

import pytest

from loadbalancer.admin.calls import VERBS
from loadbalancer.cli import control
from loadbalancer.cli.__main__ import main
from loadbalancer.cli.output import show, watch


class Terminal(io.StringIO):
    def isatty(self) -> bool:
        return True


def test_only_terminals_get_colour_and_values_are_not_markup() -> None:
    rows = [{"member": "[red]a[/]", "used": False}, {"member": "b", "used": True}]
    plain, terminal = io.StringIO(), Terminal()
    show(rows, plain)
    show(rows, terminal)
    assert "\x1b" not in plain.getvalue() and "[red]a[/]  False" in plain.getvalue()
    assert "[red]a[/]" in terminal.getvalue()


def test_watch_shows_a_new_answer_each_time(capsys: pytest.CaptureFixture[str]) -> None:
    rows = iter([[{"member": "a"}], [{"member": "b"}], []])
    watch(lambda: next(rows), 0.0, 3)
    assert capsys.readouterr().out.split() == ["member", "a", "member", "b", "none"]


# Guards against a call that ends with 1 without the reason on standard error.
@pytest.mark.parametrize("options", [[], ["--json"]], ids=["words", "json"])
@pytest.mark.parametrize(
    ("status", "found", "reason"),
    [
        (409, {"error": "no majority"}, "no majority"),
        (
            200,
            {"version": 3, "holds": False, "missing": ["i2"]},
            "version 3 stands; i2 may act on the one before",
        ),
    ],
    ids=["refused", "not confirmed by all"],
)
def test_an_unfulfilled_change_reports_its_reason_on_standard_error(
    options: list[str],
    status: int,
    found: dict[str, object],
    reason: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr(control, "call", lambda *_: (status, found))
    assert main(["cordon", *options, "p", "m1"]) == 1
    output = capsys.readouterr()
    assert f"micastand cordon: {reason}" in output.err
    if options:
        assert json.loads(output.out) == found


@pytest.mark.parametrize("shell", ["bash", "zsh", "tcsh"])
def test_completion_covers_every_verb(shell: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["completion", shell]) == 0
    out = capsys.readouterr().out
    assert all(verb in out for verb in (*VERBS, "upgrade", "why", "status"))


def test_help_imports_no_server_modules() -> None:
    code = "import sys; from loadbalancer.cli.__main__ import parser; parser(); print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert not {"uvloop", "asyncio", "msgspec", "rich", "structlog", "httptools"} & set(loaded)


def test_every_change_of_the_interface_is_a_verb_of_the_command() -> None:
    from loadbalancer.cli.control import CHANGES

    assert set(CHANGES) == set(VERBS)
