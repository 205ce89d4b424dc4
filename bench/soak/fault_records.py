"""What the soak test records of its faults."""

from typing import NamedTuple


class InjectedFault(NamedTuple):
    """A fault with its times in seconds of the monotonic clock.

    Attributes:
        kind: the kind of fault, such as `kill` or `link cut`.
        name: the instance, link, store or upstream that was faulted.
        started: when the fault started.
        ended: when the fault had ended.
    """

    kind: str
    name: str
    started: float
    ended: float


class PlannedStop(NamedTuple):
    """A stop by SIGTERM, with times in seconds of the monotonic clock.

    Attributes:
        name: the instance.
        sent: when the first SIGTERM was sent.
        exited: when the process had exited.
        exit_status: exit status of the process.
    """

    name: str
    sent: float
    exited: float
    exit_status: int
