"""Measures memory, look-ups and changes of a fully built block map.

Run as `python -m bench.blocks [COUNT]`; the default is 4 million blocks.
"""

import ipaddress
import mmap
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import numpy as np

from lycheedyke.coordination import TicketLog
from lycheedyke.protocol import (
    CREATED_UNSET,
    Block,
    BlockTable,
    Ticket,
    Zone,
    decode_snapshot,
    encode_snapshot,
    encode_ticket,
)
from lycheedyke.state import BlockMap, Configuration, TicketHistory
from lycheedyke.state import export_configuration as export

DEFAULT_COUNT = 4_000_000
IPV6_SHARE = 0.25
HOME_REGIONS = tuple(f'region-{number}' for number in range(10))
LOOKUPS = 200_000
TICKETS = 40
CHANGES = 1000
PART_BYTES = 900_000


def _peak_mb() -> float:
    status = Path('/proc/self/status').read_text(encoding='ascii')
    return int(status.partition('VmHWM:')[2].split()[0]) / 1024


def _resident_mb() -> float:
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * mmap.PAGESIZE / 2**20


def _table(version: int, length: int, count: int, seed: int) -> BlockTable:
    top = 2 ** min(length, 63)
    chosen = np.random.default_rng(seed).integers(0, top, int(count * 1.2))
    kind = '<u4' if version == 4 else '<u8'
    numbers = np.unique(chosen)[:count].astype(kind)
    homes = (numbers % len(HOME_REGIONS)).astype('<u2')
    return BlockTable(version, length, numbers.tobytes(), homes.tobytes())


def _build(count: int) -> BlockMap:
    ipv6_count = int(count * IPV6_SHARE)
    shares = ((24, 0.6), (22, 0.2), (28, 0.2))
    tables = [
        _table(4, length, int((count - ipv6_count) * share), length)
        for length, share in shares
    ]
    tables.append(_table(6, 48, ipv6_count, 6))
    return BlockMap.restore(HOME_REGIONS, tuple(tables))


def _addresses(blocks: BlockMap, version: int) -> list[str]:
    """Returns addresses, half of which lie in a block of the map."""
    bits, kind = (
        (32, ipaddress.IPv4Address)
        if version == 4
        else (128, ipaddress.IPv6Address)
    )
    rng = random.Random(version)
    queried = [rng.getrandbits(bits) for _ in range(LOOKUPS // 2)]
    tables = [each for each in blocks.export()[1] if each.version == version]
    for table in tables:
        numbers = np.frombuffer(table.numbers, '<u4' if version == 4 else '<u8')
        for number in rng.choices(numbers, k=LOOKUPS // 2 // len(tables)):
            queried.append(int(number) << (bits - table.length))
    rng.shuffle(queried)
    return [str(kind(address)) for address in queried]


def _measure_lookups(blocks: BlockMap) -> None:
    for version in (4, 6):
        queried = _addresses(blocks, version)
        begin = time.process_time()
        found = sum(blocks.find(address) is not None for address in queried)
        spent = (time.process_time() - begin) / len(queried) * 1e6
        hits = found / len(queried)
        print(f'look-up IPv{version}: {spent:.2f} us, {hits:.0%} hit')


def _measure_changes(blocks: BlockMap) -> BlockMap:
    rng = random.Random(2)
    spent = []
    for _ in range(TICKETS):
        changes = {
            str(ipaddress.IPv4Network((rng.getrandbits(24) << 8, 24))): Block(
                rng.choice(HOME_REGIONS),
            )
            for _ in range(CHANGES)
        }
        begin = time.process_time()
        blocks = blocks.change(changes)
        spent.append((time.process_time() - begin) * 1000)
    ordered = sorted(spent)
    print(
        f'ticket of {CHANGES} blocks: median {ordered[len(ordered) // 2]:.1f} '
        f'ms, worst (merge) {ordered[-1]:.1f} ms of {TICKETS}',
    )
    return blocks


def _measure_applying(log: TicketLog) -> None:
    rng = random.Random(3)
    spent = []
    for index in range(TICKETS):
        prefixes = {f'10.{rng.randrange(256)}.{low}.0/24' for low in range(250)}
        ticket = Ticket(
            f'author-{index}',
            log.number,
            zones={f'zone-{home}': Zone(home) for home in HOME_REGIONS},
            blocks={
                prefix: Block(rng.choice(HOME_REGIONS)) for prefix in prefixes
            },
        )
        document = encode_ticket(ticket)
        begin = time.process_time()
        assert log.apply(log.number + 1, document)
        spent.append((time.process_time() - begin) * 1000)
    median = sorted(spent)[len(spent) // 2]
    print(f'apply a ticket of 250 blocks, all checks: {median:.1f} ms median')


def _run(count: int) -> None:
    before = _resident_mb()
    blocks = _build(count)
    print(f'{len(blocks)} blocks, process before {before:.0f} MB')
    print(f'process after building the map: {_resident_mb():.0f} MB')
    _measure_lookups(blocks)
    blocks = _measure_changes(blocks)
    print(f'process after the changes: {_resident_mb():.0f} MB')
    begin = time.process_time()
    configuration = Configuration(number=1, blocks=blocks)
    parts = encode_snapshot(
        export(configuration, TicketHistory(), CREATED_UNSET),
    )
    spent = time.process_time() - begin
    size = sum(map(len, parts)) / 2**20
    print(f'snapshot: {size:.1f} MB in {len(parts)} parts, {spent:.2f} s')
    print(f'peak of the process: {_peak_mb():.0f} MB')
    with tempfile.NamedTemporaryFile() as file:
        file.write(b''.join(parts))
        file.flush()
        subprocess.run(
            [sys.executable, '-m', 'bench.blocks', file.name],
            check=True,
        )


def _restore(path: Path) -> None:
    """Restores a snapshot in a new process, as a daemon does at its start."""
    before = _resident_mb()
    begin = time.process_time()
    log = TicketLog(lambda _: None)
    log.restore(decode_snapshot(_read_parts(path)))
    spent = time.process_time() - begin
    print(f'restore it: {spent:.2f} s, process before {before:.0f} MB')
    print(f'  after {_resident_mb():.0f} MB, peak {_peak_mb():.0f} MB')
    _measure_applying(log)
    print(f'  after the tickets {_resident_mb():.0f} MB')


def _read_parts(path: Path) -> list[bytes]:
    with path.open('rb') as file:
        return list(iter(lambda: file.read(PART_BYTES), b''))


def main() -> None:
    """Measures a new map, or the restore of the snapshot file given."""
    argument = sys.argv[1] if len(sys.argv) > 1 else str(DEFAULT_COUNT)
    if argument.isdecimal():
        _run(int(argument))
    else:
        _restore(Path(argument))


if __name__ == '__main__':
    main()
