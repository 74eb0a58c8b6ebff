"""When a shutdown ends what is still open: late enough for the deadlines of requests, early enough for SIGKILL."""

from __future__ import annotations

#: SIGKILL comes no sooner than this long after the longest deadline, both counted from SIGTERM.
KILL_MARGIN_S = 0.7
#: On the platform no longer deadline counts for the time of SIGKILL.
LONGEST_PLATFORM_DEADLINE_S = 3.0
#: The process may be held up for this long before it hears SIGTERM, and again before it writes its last answers.
HOLD_UP_S = 0.15
#: What the last answers take where nothing holds them up.
LAST_ANSWERS_S = 0.05
#: From the longest deadline until the last answers are written.
END_MARGIN_S = KILL_MARGIN_S - 2 * HOLD_UP_S - LAST_ANSWERS_S


def shutdown_duration(longest_deadline_s: float) -> float:
    """Return the seconds from when SIGTERM is heard until what is still open is answered.

    Args:
        longest_deadline_s: What a request may take at most, in seconds.
    """
    return longest_deadline_s + END_MARGIN_S


def platform_shutdown_duration(longest_deadline_s: float) -> float:
    """The same on the platform, whose SIGKILL does not wait for deadlines past `LONGEST_PLATFORM_DEADLINE_S`."""
    return shutdown_duration(min(longest_deadline_s, LONGEST_PLATFORM_DEADLINE_S))
