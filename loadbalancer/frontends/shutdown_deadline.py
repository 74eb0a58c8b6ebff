"""Computes when a shutdown ends the open requests: after their deadlines, and before SIGKILL."""

from __future__ import annotations

#: SIGKILL comes no sooner than this long after the longest deadline, both counted from SIGTERM.
KILL_MARGIN_S = 0.7
#: Longest deadline that the platform takes into account for the time of SIGKILL.
LONGEST_PLATFORM_DEADLINE_S = 3.0
#: The process may stall for this long before it handles SIGTERM, and again before it writes its last answers.
HOLD_UP_S = 0.15
#: Time to write the last answers when nothing stalls the process.
LAST_ANSWERS_S = 0.05
#: Time from the longest deadline until the last answers are written.
END_MARGIN_S = KILL_MARGIN_S - 2 * HOLD_UP_S - LAST_ANSWERS_S


def shutdown_duration(longest_deadline_s: float) -> float:
    """Return the seconds from handling SIGTERM until all open requests are answered.

    Args:
        longest_deadline_s: Longest time that a request may take, in seconds.
    """
    return longest_deadline_s + END_MARGIN_S


def platform_shutdown_duration(longest_deadline_s: float) -> float:
    """Return the same on the platform, where SIGKILL comes as if no deadline exceeded `LONGEST_PLATFORM_DEADLINE_S`."""
    return shutdown_duration(min(longest_deadline_s, LONGEST_PLATFORM_DEADLINE_S))
