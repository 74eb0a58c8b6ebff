"""Callback and message types that the services of a fleet member share."""

from __future__ import annotations

from pathlib import Path
from typing import Callable, Iterator, NamedTuple

from loadbalancer.fleet.wire import Message
from loadbalancer.resource_limits import RateLimitedLogger

#: A JSON object in an answer to an operator, before it is encoded.
JsonObject = dict[str, object]
#: Called once, with the answer to an operator's call.
AnswerCallback = Callable[[JsonObject], None]
#: Loads a configuration file and checks everything that a reload needs; raises ConfigError or OSError.
PrepareConfiguration = Callable[[Path, RateLimitedLogger], object]
#: Returns seconds of a clock that also runs while the machine is suspended.
Clock = Callable[[], float]


class StreamedMessage(NamedTuple):
    """One message of an answer over a connection between instances."""

    message: Message
    pause_s: float  # the pause after the message, which limits the sending rate


#: The messages that answer the first message of a connection between instances.
StreamedAnswer = Iterator[StreamedMessage]
