"""Converts a configuration to a snapshot and back."""

from datetime import datetime

from lycheedyke.protocol import ShiftState, Snapshot
from lycheedyke.state._blocks import BlockMap
from lycheedyke.state._configuration import AcceptedShift, Configuration
from lycheedyke.state._history import TicketHistory


def export_configuration(
    configuration: Configuration,
    history: TicketHistory,
    created: datetime,
) -> Snapshot:
    """Returns the snapshot of a configuration.

    Args:
        configuration: the objects in force.
        history: the retained history of the tickets.
        created: the time at which the newest ticket was accepted.
    """
    homes, tables = configuration.blocks.export()
    return Snapshot(
        number=configuration.number,
        floor=history.floor,
        created=created,
        zones=dict(configuration.zones),
        services=dict(configuration.services),
        upstreams=dict(configuration.upstreams),
        shifts={
            name: ShiftState(*state)
            for name, state in configuration.shifts.items()
        },
        records=history.records,
        homes=homes,
        blocks=tables,
    )


def restore_configuration(snapshot: Snapshot) -> Configuration:
    """Returns the configuration of a snapshot."""
    return Configuration(
        number=snapshot.number,
        zones=snapshot.zones,
        services=snapshot.services,
        upstreams=snapshot.upstreams,
        shifts={
            name: AcceptedShift(state.shift, state.accepted)
            for name, state in snapshot.shifts.items()
        },
        blocks=BlockMap.restore(snapshot.homes, snapshot.blocks),
    )
