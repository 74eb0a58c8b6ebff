"""What the services of a fleet member need of other parts of the daemon, and the types that they share."""

from __future__ import annotations

from pathlib import Path
from typing import Callable, Iterator, NamedTuple

from loadbalancer.fleet.wire import Message
from loadbalancer.resource_limits import RateLimitedLogger

#: An object of an answer to an operator, as it is encoded to JSON.
JsonObject = dict[str, object]
#: Receives the one answer to an operator's call.
AnswerCallback = Callable[[JsonObject], None]
#: Loads a configuration file, and checks all that a reload would need; raises ConfigError or OSError.
PrepareConfiguration = Callable[[Path, RateLimitedLogger], object]
#: Seconds on a clock that also runs while the machine sleeps.
Clock = Callable[[], float]


class StreamedMessage(NamedTuple):
    """One message of an answer over a connection between instances."""

    message: Message
    pause_s: float  # waited after the message, which bounds the rate


#: The answer to a message that opens a connection between instances.
StreamedAnswer = Iterator[StreamedMessage]
