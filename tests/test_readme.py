"""Tests that the example in README.md runs and prints the output that the page shows."""

import contextlib
import io
import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_readme_example_prints_the_output_on_the_page() -> None:
    text = README.read_text(encoding="utf-8")
    code = re.search(r"```python\n(.*?)```", text, re.S)
    shown = re.search(r"This prints\n\n((?:    .*\n)+)", text)
    assert code and shown
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code.group(1), {})
    assert out.getvalue() == "".join(line[4:] + "\n" for line in shown.group(1).splitlines())
