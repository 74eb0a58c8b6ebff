"""A rolling restart of the fleet goes group by group, and halts by itself."""

from __future__ import annotations

from loadbalancer.fleet.orchestration.rolling_restart import (
    GROUP_TIMEOUT_S,
    MemberRestart,
    RestartMember,
    RollingRestart,
)


def members(*names: str, boot: int = 1, living: bool = True, full: bool = True) -> dict[str, MemberRestart]:
    return {name: MemberRestart(boot, living, full) for name in names}


WHOLE = members("a", "b", "c")


def test_a_group_follows_once_the_one_before_is_back_in_full_service() -> None:
    restart = RollingRestart("b", ["a", "b", "c"], 1, 0.0)
    assert restart.step(0.0, WHOLE) == [RestartMember("a")]
    assert restart.step(1.0, WHOLE) == []
    assert (
        restart.step(2.0, WHOLE | members("a", boot=2, full=False)) == []
    )  # another process, and not full yet
    assert restart.step(3.0, WHOLE | members("a", boot=2)) == []
    assert restart.done == ["a"]
    assert (
        restart.step(3.5, WHOLE | members("a", boot=2, living=False)) == []
    )  # nobody is next while one is down
    assert restart.step(4.0, WHOLE | members("a", boot=2)) == [RestartMember("c")]
    assert restart.step(4.0 + GROUP_TIMEOUT_S + 1, WHOLE | members("a", boot=2)) == []
    assert "not back" in restart.halted


def test_the_driver_is_the_last_of_the_last_group() -> None:
    restart = RollingRestart("a", ["a", "b", "c"], 2, 0.0)
    assert restart.step(0.0, WHOLE) == [RestartMember("b"), RestartMember("c")]
    assert restart.groups[-1] == ["a"]


def test_nobody_is_restarted_while_one_of_the_group_does_not_live() -> None:
    assert RollingRestart("a", ["a", "b"], 1, 0.0).step(0.0, members("a")) == []
