"""The messages that tell peers of demand."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from lycheedyke.state.demand import MAX_REPORTERS, MAX_SERVICES, ZoneTotal

MILLISECOND = timedelta(milliseconds=1)
MAX_MESSAGE_BYTES = 65_536
MAX_NAME = 128
MAX_ZONES = 64
MAX_RATE = 1_000_000_000
# Added for each transfer. Without it, totals that circulate among instances
# would age less than the time passes.
TRANSFER_AGE = timedelta(milliseconds=50)


class DemandNotUnderstood(ValueError):
    """A message on demand is malformed or out of bounds."""


class InstanceDemand(msgspec.Struct, frozen=True, array_like=True):
    """The requests that arrive at one instance.

    Attributes:
        instance: its name.
        zone: its zone.
        rates: the requests of each service, in tenths per second.
    """

    instance: str
    zone: str
    rates: dict[str, int]


class _ZoneRow(msgspec.Struct, frozen=True, array_like=True):
    """The total of a zone; its rates are in the order of the services."""

    zone: str
    reporters: int
    age_ms: int
    rates: tuple[int, ...]


class _Totals(msgspec.Struct, frozen=True, array_like=True):
    """The totals of zones. Each service is named once, to save bytes."""

    services: tuple[str, ...]
    rows: tuple[_ZoneRow, ...]


_INSTANCE = msgspec.msgpack.Decoder(InstanceDemand)
_TOTALS = msgspec.msgpack.Decoder(_Totals)


def encode_instance(
    instance: str, zone: str, rates: Mapping[str, int]
) -> bytes:
    """Returns the report of an instance."""
    return msgspec.msgpack.encode(InstanceDemand(instance, zone, dict(rates)))


def decode_instance(body: bytes) -> InstanceDemand:
    """Returns the report of an instance.

    Raises:
        DemandNotUnderstood: it is malformed or out of bounds.
    """
    _check_size(body)
    try:
        report = _INSTANCE.decode(body)
    except msgspec.MsgspecError as error:
        raise DemandNotUnderstood(str(error)) from error
    _check_names((report.instance, report.zone, *report.rates))
    _check_rates(report.rates.values())
    return report


def encode_totals(totals: Iterable[ZoneTotal], now: timedelta) -> bytes:
    """Returns a message with totals, each with its age."""
    found = sorted(totals)[:MAX_ZONES]
    services = sorted({name for total in found for name in total.rates})
    services = services[:MAX_SERVICES]
    rows = tuple(
        _ZoneRow(
            total.zone,
            total.reporters,
            (now - total.measured_at + TRANSFER_AGE) // MILLISECOND,
            tuple(total.rates.get(name, 0) for name in services),
        )
        for total in found
    )
    return msgspec.msgpack.encode(_Totals(tuple(services), rows))


def decode_totals(body: bytes, now: timedelta) -> list[ZoneTotal]:
    """Returns the totals of a message.

    Raises:
        DemandNotUnderstood: it is malformed or out of bounds.
    """
    _check_size(body)
    try:
        found = _TOTALS.decode(body)
    except msgspec.MsgspecError as error:
        raise DemandNotUnderstood(str(error)) from error
    _check_names(found.services)
    if len(found.rows) > MAX_ZONES:
        raise DemandNotUnderstood(f'{len(found.rows)} zones')
    return [_to_total(row, found.services, now) for row in found.rows]


def _to_total(
    row: _ZoneRow, services: tuple[str, ...], now: timedelta
) -> ZoneTotal:
    _check_names((row.zone,))
    _check_rates((*row.rates, row.age_ms))
    if len(row.rates) != len(services):
        raise DemandNotUnderstood(f'{len(row.rates)} rates of zone {row.zone}')
    if not 0 < row.reporters <= MAX_REPORTERS:
        raise DemandNotUnderstood(f'{row.reporters} reporters')
    rates = dict(zip(services, row.rates, strict=True))
    return ZoneTotal(
        row.zone, row.reporters, now - row.age_ms * MILLISECOND, rates
    )


def _check_size(body: bytes) -> None:
    if len(body) > MAX_MESSAGE_BYTES:
        raise DemandNotUnderstood(f'{len(body)} bytes')


def _check_names(names: tuple[str, ...]) -> None:
    # An instance names itself and its zone besides the services.
    if len(names) > MAX_SERVICES + 2 or max(map(len, names), default=0) > (
        MAX_NAME
    ):
        raise DemandNotUnderstood('names are too many or too long')


def _check_rates(rates: Iterable[int]) -> None:
    for rate in rates:
        if not 0 <= rate <= MAX_RATE:
            raise DemandNotUnderstood(f'{rate} out of range')
