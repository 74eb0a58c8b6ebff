"""Tests of tokens: their file, rotation, guess limiting, and the authentication of calls over TCP."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from administered import daemon_configuration, run
from daemons import DaemonHarness, RecordingLogger, running_daemon
from ports import reserve_port

from loadbalancer.admin.tokens import (
    MAX_TOKEN_CHARACTERS,
    MAX_WRONG_TOKENS,
    GuessLimiter,
    TokenError,
    Tokens,
    format_line,
)
from loadbalancer.cli.__main__ import main
from loadbalancer.config.plan import load
from loadbalancer.config.reader import ConfigError
from loadbalancer.daemon.token_authentication import TokenAuthenticator, read_tokens
from loadbalancer.management.calls import Response
from standins.member import Member


def test_a_valid_bearer_token_finds_its_holder() -> None:
    found = Tokens.read(
        "# who\n\n" + format_line("one", "reads", "rita") + format_line("two", "changes", "sam")
    )
    assert [
        holder and (holder.name, holder.role)
        for holder in map(found.holder, ("Bearer one", "bearer  two", " Bearer two "))
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
def test_an_invalid_token_file_is_rejected_with_the_line(content: str, words: str) -> None:
    with pytest.raises(TokenError, match=words):
        Tokens.read(content)


def test_wrong_tokens_block_attempts_until_the_window_ends() -> None:
    guesses = GuessLimiter()
    for _ in range(MAX_WRONG_TOKENS):
        assert guesses.allows_attempt(100.0)
        guesses.record_wrong_token()
    assert not guesses.allows_attempt(109.9) and guesses.allows_attempt(110.0)


def write_file(path: Path, content: str, mode: int = 0o600) -> Path:
    path.write_text(content)
    path.chmod(mode)
    return path


def test_token_changes_apply_and_an_invalid_file_keeps_the_last_valid_one(tmp_path: Path) -> None:
    path, heard, now = (
        write_file(tmp_path / "tokens", format_line("old", "reads", "rita")),
        RecordingLogger(),
        [0.0],
    )
    authenticator = TokenAuthenticator(path, None, heard, lambda: now[0])  # type: ignore[arg-type]
    assert not isinstance(authenticator.session("Bearer old"), Response)
    write_file(path, format_line("old", "reads", "rita") + format_line("new", "changes", "rita"))
    session = authenticator.session("Bearer new")
    assert not isinstance(session, Response) and session.by == "rita" and not session.reads_only
    write_file(path, "half a li")
    assert not isinstance(authenticator.session("Bearer new"), Response) and heard.count("tokens not taken")
    path.unlink()
    assert not isinstance(authenticator.session("Bearer old"), Response)
    write_file(path, format_line("new", "changes", "rita"))
    refused = authenticator.session("Bearer old")
    assert isinstance(refused, Response) and refused.status == 401
    for _ in range(MAX_WRONG_TOKENS):
        authenticator.session("Bearer wrong")
    limited = authenticator.session("Bearer new")
    assert isinstance(limited, Response) and limited.status == 429
    now[0] = 11.0
    assert not isinstance(authenticator.session("Bearer new"), Response)


@pytest.mark.parametrize("mode", [0o644, 0o620, 0o660, 0o604])
def test_a_file_that_others_can_access_is_rejected(tmp_path: Path, mode: int) -> None:
    with pytest.raises(TokenError, match="chmod 600"):
        read_tokens(write_file(tmp_path / "tokens", format_line("t", "reads", "r"), mode))


async def call_by_tcp(
    port: int, token: str, data: bytes = b"GET /v1/status HTTP/1.1\r\n"
) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data + f"Authorization: Bearer {token}\r\n\r\n".encode())
    found = await reader.read()
    writer.close()
    head, _, body = found.partition(b"\r\n\r\n")
    return int(head[9:12]), body


def management_table(port: int) -> str:
    return (
        f'[management]\nsocket = "s"\naudit = "audit.log"\naddress = "127.0.0.1:{port}"\ntokens = "tokens"\n'
    )


def test_calls_over_tcp_have_the_role_and_name_of_the_token_holder(tmp_path: Path, capsys: Any) -> None:
    port = reserve_port()
    write_file(
        tmp_path / "tokens", format_line("look", "reads", "rita") + format_line("do", "changes", "sam")
    )
    write_file(tmp_path / "mine", "do\n")

    async def scene() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(
            tmp_path, members, lambda: daemon_configuration(members, management_table(port))
        ) as here:
            await calls(here)

    async def calls(here: DaemonHarness) -> None:
        assert (await call_by_tcp(port, "look"))[0] == 200
        assert (await call_by_tcp(port, "guess"))[0] == 401
        body = b'{"by": "somebody else", "pool": "p", "member": "a"}'
        post = b"POST /v1/cordon HTTP/1.1\r\nContent-Length: %d\r\nConnection: close\r\n" % len(body)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(post + b"Authorization: Bearer look\r\n\r\n" + body)
        assert (await reader.read())[9:12] == b"403"
        writer.close()
        loop = asyncio.get_running_loop()
        command = ["cordon", "p", "a", "--by", "nobody", "--tcp", f"127.0.0.1:{port}", "--token-file"]
        assert await loop.run_in_executor(None, main, [*command, str(tmp_path / "mine")]) == 0
        assert await loop.run_in_executor(None, main, [*command, str(tmp_path / "none")]) == 2
        write_file(tmp_path / "wrong", "x")
        assert await loop.run_in_executor(None, main, [*command, str(tmp_path / "wrong")]) == 2
        assert "Bearer TOKEN is wanted" in capsys.readouterr().err
        lines = [json.loads(line) for line in (tmp_path / "audit.log").read_text().splitlines()]
        assert [(line["by"], line["verb"]) for line in lines] == [("sam", "cordon")]

    run(scene)


def test_a_start_with_a_missing_token_file_is_a_config_error(tmp_path: Path) -> None:
    async def scene() -> None:
        member = Member("a")
        with pytest.raises(ConfigError, match="management.tokens"):
            async with running_daemon(
                tmp_path, [member], lambda: daemon_configuration([member], management_table(reserve_port()))
            ):
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
def test_an_invalid_management_table_is_a_config_error(tmp_path: Path, lines: str, words: str) -> None:
    path = tmp_path / "c.toml"
    path.write_text(f"[management]\n{lines}\n" + daemon_configuration([Member("a")]).replace(":0", ":1"))
    with pytest.raises(ConfigError, match=words):
        load(path)


def test_the_token_command_prints_a_line_without_the_token_itself(capsys: Any) -> None:
    assert main(["token", "rita", "--role", "changes"]) == 0
    out, err = capsys.readouterr()
    holder = Tokens.read(out).holder("Bearer " + err.split()[-1])
    assert (
        holder is not None
        and (holder.name, holder.role) == ("rita", "changes")
        and err.split()[-1] not in out
    )
    assert main(["token", "two words"]) == 2
