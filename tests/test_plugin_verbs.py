"""Tests of `micastand plugin new`, `check` and `run`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from loadbalancer.cli.__main__ import main

URGENT = Path(__file__).parent.parent / "plugins" / "urgent.wat"
LOOP = """(module (memory (export "memory") 1) (func (export "micastand_hook") (result i32) (i32.const 1))
(func (export "alloc") (param i32) (result i32) (i32.const 0))
(func (export "on_request") (param i32 i32) (result i64) (loop $l (br $l)) (i64.const 0)))"""


def test_a_new_plugin_passes_its_check_and_is_not_overwritten(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "mine.wat"
    assert main(["plugin", "new", str(path)]) == 0
    assert main(["plugin", "check", str(path)]) == 0 and "good" in capsys.readouterr().out
    assert main(["plugin", "run", str(path), "--json", "-H", "X-A: " + "b" * 5000]) == 0
    result = json.loads(capsys.readouterr().out)
    assert result["tags"] == {"seen-by": "template"} and 0 < result["fuel"] < 1000
    assert main(["plugin", "new", str(path)]) == 2


def test_the_urgent_sample_passes_its_check_and_runs(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["plugin", "check", str(URGENT)]) == 0
    assert main(["plugin", "run", str(URGENT), "--request", "GET /", "--times", "2"]) == 0
    assert capsys.readouterr().out.count("fuel") == 3


@pytest.mark.parametrize(
    "text, words", [(LOOP, "fuel"), ("(module)", "export"), ("nonsense", "unreadable"),
                    (LOOP.replace("i32.const 1)", "i32.const 9)", 1), "version")],
)  # fmt: skip
def test_an_unusable_plugin_fails_with_the_kind_of_its_error(
    tmp_path: Path, text: str, words: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "bad.wat"
    path.write_text(text)
    assert main(["plugin", "check", str(path)]) == 1
    assert main(["plugin", "run", str(path), "--times", "2"]) == 1
    assert words in capsys.readouterr().err


def test_a_protected_header_in_the_output_is_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    from loadbalancer.plugins.template import WAT

    path = tmp_path / "bad.wat"
    path.write_text(WAT.replace("tag seen-by template\\n", "set host evil.testin\\n"))
    assert main(["plugin", "run", str(path)]) == 1
    assert "host" in capsys.readouterr().err


@pytest.mark.parametrize(
    "words", [["--request", "GET"], ["-H", "none"], ["--setting", "none"], ["--request", "GET nowhere"]]
)
def test_invalid_arguments_are_usage_errors(words: list[str]) -> None:
    assert main(["plugin", "run", str(URGENT), *words]) == 2
    assert main(["plugin", "check", "nowhere.wat"]) == 2
