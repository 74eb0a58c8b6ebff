"""A rolling restart of the fleet proceeds group by group, and halts on timeout."""

from __future__ import annotations

from loadbalancer.fleet.orchestration.rolling_restart import (
    GROUP_TIMEOUT_S,
    MemberRestart,
    RestartMember,
    RollingRestart,
)


def members(
    *names: str, boot: int = 1, is_live: bool = True, in_full_service: bool = True
) -> dict[str, MemberRestart]:
    return {name: MemberRestart(boot, is_live, in_full_service) for name in names}


ALL_SERVING = members("a", "b", "c")


def test_next_group_starts_once_the_previous_one_is_in_full_service() -> None:
    restart = RollingRestart("b", ["a", "b", "c"], 1, 0.0)
    assert restart.step(0.0, ALL_SERVING) == [RestartMember("a")]
    assert restart.step(1.0, ALL_SERVING) == []
    assert (
        restart.step(2.0, ALL_SERVING | members("a", boot=2, in_full_service=False)) == []
    )  # a new process that is not in full service yet
    assert restart.step(3.0, ALL_SERVING | members("a", boot=2)) == []
    assert restart.done == ["a"]
    assert (
        restart.step(3.5, ALL_SERVING | members("a", boot=2, is_live=False)) == []
    )  # no group starts while an instance is down
    assert restart.step(4.0, ALL_SERVING | members("a", boot=2)) == [RestartMember("c")]
    assert restart.step(4.0 + GROUP_TIMEOUT_S + 1, ALL_SERVING | members("a", boot=2)) == []
    assert "not back" in restart.halted


def test_coordinator_is_the_last_of_the_last_group() -> None:
    restart = RollingRestart("a", ["a", "b", "c"], 2, 0.0)
    assert restart.step(0.0, ALL_SERVING) == [RestartMember("b"), RestartMember("c")]
    assert restart.groups[-1] == ["a"]


def test_no_instance_is_restarted_while_one_of_the_group_is_not_live() -> None:
    assert RollingRestart("a", ["a", "b"], 1, 0.0).step(0.0, members("a")) == []
