"""Many routes and many keys, as large configurations have them."""

from random import Random
from typing import Any

SEED = 56
KEY_BYTES = 12
NAME_CHARACTERS = 'abcdefghijkmnopqrstuvwxyz0123456789'


def many_routes(count: int) -> list[dict[str, Any]]:
    """Returns so many routes with prefixes of their own."""
    choice = Random(SEED)
    return [
        {
            'name': f'r-{_word(choice)}',
            'prefix': f'/{_word(choice)}/{_word(choice)}/',
            'service': 'desk',
        }
        for _ in range(count)
    ]


def many_tenants(count: int, keys: int) -> list[dict[str, Any]]:
    """Returns so many tenants with so many keys each."""
    choice = Random(SEED)
    return [
        {
            'name': f'tenant{at}',
            'apiKeys': [choice.randbytes(KEY_BYTES).hex() for _ in range(keys)],
        }
        for at in range(count)
    ]


def _word(choice: Random) -> str:
    return ''.join(choice.choices(NAME_CHARACTERS, k=7))
