"""The commands that show the state of the system."""

from pathlib import Path

from lycheedyke_ctl.admin_api import call, read_access
from lycheedyke_ctl.tables import show


def status(*, config: Path | None = None, json: bool = False) -> None:
    """Show the responding instance and the upstreams that it owns.

    Args:
        config: The tool's INI file.
        json: Print JSON.
    """
    _get('/v1/status', config, as_json=json)


def instances(*, config: Path | None = None, json: bool = False) -> None:
    """Show the live instances that the responding instance knows.

    Args:
        config: The tool's INI file.
        json: Print JSON.
    """
    _get('/v1/instances', config, as_json=json)


def headroom(*, config: Path | None = None, json: bool = False) -> None:
    """Show the free slots by region, service and upstream.

    Args:
        config: The tool's INI file.
        json: Print JSON.
    """
    _get('/v1/headroom', config, as_json=json)


def drains(*, config: Path | None = None, json: bool = False) -> None:
    """Show the draining and drained upstreams of the responding instance.

    Args:
        config: The tool's INI file.
        json: Print JSON.
    """
    _get('/v1/drains', config, as_json=json)


def suspects(*, config: Path | None = None, json: bool = False) -> None:
    """Show the requests that are suspected of crashing upstreams.

    Args:
        config: The tool's INI file.
        json: Print JSON.
    """
    _get('/v1/suspects', config, as_json=json)


def clear_suspects(
    *,
    fingerprint: str = '',
    config: Path | None = None,
    json: bool = False,
) -> None:
    """Clear one suspect, or all, at all live instances.

    Args:
        fingerprint: The suspect to clear; all of them by default.
        config: The tool's INI file.
        json: Print JSON.
    """
    query = f'?fingerprint={fingerprint}' if fingerprint else ''
    path = f'/v1/suspects{query}'
    show(call(read_access(config), 'DELETE', path), as_json=json)


def counters(*, config: Path | None = None, json: bool = False) -> None:
    """Show the counters and latencies of the responding instance.

    Args:
        config: The tool's INI file.
        json: Print JSON.
    """
    _get('/v1/counters', config, as_json=json)


def _get(path: str, config: Path | None, *, as_json: bool) -> None:
    show(call(read_access(config), 'GET', path), as_json=as_json)
