"""Tokens of those who call by TCP: wrong, long, rotated, guessed; and the door that reads their file."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from administered import run, text
from daemons import DaemonHarness, RecordingLogger, running_daemon
from ports import kept_port

from loadbalancer.admin.tokens import (
    MAX_TOKEN_CHARACTERS,
    MAX_WRONG_TOKENS,
    GuessLimiter,
    TokenError,
    Tokens,
    line_of,
)
from loadbalancer.cli.__main__ import main
from loadbalancer.config.plan import load
from loadbalancer.config.reader import ConfigError
from loadbalancer.daemon.token_authentication import TokenAuthenticator, read_tokens
from loadbalancer.management.calls import Response
from standins.member import Member


def test_a_holder_is_found_by_the_token_alone() -> None:
    found = Tokens.read("# who\n\n" + line_of("one", "reads", "rita") + line_of("two", "changes", "sam"))
    assert [
        h and (h.name, h.role) for h in map(found.holder, ("Bearer one", "bearer  two", " Bearer two "))
    ] == [
        ("rita", "reads"),
        ("sam", "changes"),
        ("sam", "changes"),
    ]
    for wrong in (
        None,
        "",
        "Bearer",
        "Bearer ",
        "Basic one",
        "one",
        "Bearer three",
        "Bearer " + "x" * (MAX_TOKEN_CHARACTERS + 1),
    ):
        assert found.holder(wrong) is None


@pytest.mark.parametrize(
    "content, words",
    [("", "holds no token"), ("# only\n", "holds no token"), ("reads abc rita\n", "line 1"),
     ("writes sha256:" + "0" * 64 + " rita\n", "line 1"), ("reads sha256:" + "0" * 63 + " rita\n", "line 1"),
     ("reads sha256:" + "0" * 64 + "\n", "line 1"), ("#\n" * 1001, "at most")],
)  # fmt: skip
def test_a_file_that_is_wrong_says_where(content: str, words: str) -> None:
    with pytest.raises(TokenError, match=words):
        Tokens.read(content)


def test_guessing_ends() -> None:
    guesses = GuessLimiter()
    for _ in range(MAX_WRONG_TOKENS):
        assert guesses.may_try(100.0)
        guesses.wrong()
    assert not guesses.may_try(109.9) and guesses.may_try(110.0)


def keep(path: Path, content: str, mode: int = 0o600) -> Path:
    path.write_text(content)
    path.chmod(mode)
    return path


def test_a_door_follows_its_file_and_keeps_the_last_good_one(tmp_path: Path) -> None:
    path, heard, now = keep(tmp_path / "tokens", line_of("old", "reads", "rita")), RecordingLogger(), [0.0]
    door = TokenAuthenticator(path, None, heard, lambda: now[0])  # type: ignore[arg-type]
    assert not isinstance(door.session("Bearer old"), Response)
    keep(path, line_of("old", "reads", "rita") + line_of("new", "changes", "rita"))
    desk = door.session("Bearer new")
    assert not isinstance(desk, Response) and desk.by == "rita" and not desk.reads_only
    keep(path, "half a li")
    assert not isinstance(door.session("Bearer new"), Response) and heard.count("tokens not taken")
    path.unlink()
    assert not isinstance(door.session("Bearer old"), Response)
    keep(path, line_of("new", "changes", "rita"))
    refused = door.session("Bearer old")
    assert isinstance(refused, Response) and refused.status == 401
    for _ in range(MAX_WRONG_TOKENS):
        door.session("Bearer wrong")
    shut = door.session("Bearer new")
    assert isinstance(shut, Response) and shut.status == 429
    now[0] = 11.0
    assert not isinstance(door.session("Bearer new"), Response)


@pytest.mark.parametrize("mode", [0o644, 0o620, 0o660, 0o604])
def test_a_file_that_is_open_to_others_is_refused(tmp_path: Path, mode: int) -> None:
    with pytest.raises(TokenError, match="chmod 600"):
        read_tokens(keep(tmp_path / "tokens", line_of("t", "reads", "r"), mode))


async def by_tcp(port: int, token: str, data: bytes = b"GET /v1/status HTTP/1.1\r\n") -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data + f"Authorization: Bearer {token}\r\n\r\n".encode())
    found = await reader.read()
    writer.close()
    head, _, body = found.partition(b"\r\n\r\n")
    return int(head[9:12]), body


def managed(port: int) -> str:
    return (
        f'[management]\nsocket = "s"\naudit = "audit.log"\naddress = "127.0.0.1:{port}"\ntokens = "tokens"\n'
    )


def test_calls_by_tcp_have_the_holders_role_and_name(tmp_path: Path, capsys: Any) -> None:
    port = kept_port()
    keep(tmp_path / "tokens", line_of("look", "reads", "rita") + line_of("do", "changes", "sam"))
    keep(tmp_path / "mine", "do\n")

    async def scene() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(tmp_path, members, lambda: text(members, managed(port))) as here:
            await calls(here)

    async def calls(here: DaemonHarness) -> None:
        assert (await by_tcp(port, "look"))[0] == 200
        assert (await by_tcp(port, "guess"))[0] == 401
        body = b'{"by": "somebody else", "pool": "p", "member": "a"}'
        post = b"POST /v1/cordon HTTP/1.1\r\nContent-Length: %d\r\nConnection: close\r\n" % len(body)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(post + b"Authorization: Bearer look\r\n\r\n" + body)
        assert (await reader.read())[9:12] == b"403"
        writer.close()
        loop = asyncio.get_running_loop()
        words = ["cordon", "p", "a", "--by", "nobody", "--tcp", f"127.0.0.1:{port}", "--token-file"]
        assert await loop.run_in_executor(None, main, [*words, str(tmp_path / "mine")]) == 0
        assert await loop.run_in_executor(None, main, [*words, str(tmp_path / "none")]) == 2
        keep(tmp_path / "wrong", "x")
        assert await loop.run_in_executor(None, main, [*words, str(tmp_path / "wrong")]) == 2
        assert "Bearer TOKEN is wanted" in capsys.readouterr().err
        lines = [json.loads(line) for line in (tmp_path / "audit.log").read_text().splitlines()]
        assert [(line["by"], line["verb"]) for line in lines] == [("sam", "cordon")]

    run(scene)


def test_a_start_without_a_usable_file_of_tokens_says_so(tmp_path: Path) -> None:
    async def scene() -> None:
        member = Member("a")
        with pytest.raises(ConfigError, match="management.tokens"):
            async with running_daemon(tmp_path, [member], lambda: text([member], managed(kept_port()))):
                pass
        assert not (tmp_path / "s").exists()
        await member.stop()

    run(scene)


@pytest.mark.parametrize(
    "lines, words",
    [('address = "127.0.0.1:9"', "goes with tokens"), ('tokens = "t"', "goes with tokens"),
     ('address = "10.0.0.1:9"\ntokens = "t"', "in the clear"),
     ('address = "nowhere"\ntokens = "t"', "management.address")],
)  # fmt: skip
def test_a_table_that_does_not_fit_is_refused(tmp_path: Path, lines: str, words: str) -> None:
    path = tmp_path / "c.toml"
    path.write_text(f"[management]\n{lines}\n" + text([Member("a")]).replace(":0", ":1"))
    with pytest.raises(ConfigError, match=words):
        load(path)


def test_the_verb_makes_a_line_for_a_token_that_it_keeps_nowhere(capsys: Any) -> None:
    assert main(["token", "rita", "--role", "changes"]) == 0
    out, err = capsys.readouterr()
    holder = Tokens.read(out).holder("Bearer " + err.split()[-1])
    assert (
        holder is not None
        and (holder.name, holder.role) == ("rita", "changes")
        and err.split()[-1] not in out
    )
    assert main(["token", "two words"]) == 2
