"""The other instances as sources of updates, and what updates tell."""

from datetime import timedelta
from typing import Protocol

from lycheedyke.coordination._removal_deferral import PeerDeferral
from lycheedyke.protocol import Position, RegistryUpdate

MILLISECOND = timedelta(milliseconds=1)


class UpdateSources(Protocol):
    """The other entry instances as sources of registry updates."""

    @property
    def is_watcher(self) -> bool:
        """Whether this instance serves the updates to its zone."""

    async def poll_source(self, after: Position) -> RegistryUpdate | None:
        """Returns the updates of the zone's watcher, or of the head.

        Returns:
            None if this instance is the head, or its source did not answer.
        """

    async def poll_sample(self, after: Position) -> list[RegistryUpdate]:
        """Returns the updates of some instances of any zone."""

    @property
    def has_seeds(self) -> bool:
        """Whether there are seeds, and this instance is none of them."""

    async def poll_seeds(self) -> RegistryUpdate | None:
        """Returns all that a seed knows; None if none has read everything."""


def silence_of(update: RegistryUpdate) -> timedelta:
    """Returns how long the registry has answered nobody, by an update."""
    silence_ms = update.silence_ms
    if silence_ms is None:
        silence_ms = update.age_ms
    return silence_ms * MILLISECOND


def deferral_of(
    update: RegistryUpdate, asked: timedelta, answered: timedelta
) -> PeerDeferral:
    """Returns what an update tells of deferred removals.

    Args:
        update: the update.
        asked: when its sender was asked.
        answered: when the registry answered last, by the update.
    """
    steady_ms = update.steady_ms
    return PeerDeferral(
        asked,
        update.deferral_ms * MILLISECOND,
        update.deferral_token,
        None if steady_ms is None else steady_ms * MILLISECOND,
        answered,
    )
