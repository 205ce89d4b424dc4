"""Identifies the tenant that holds the key of a request."""

from collections.abc import Iterable, Sequence

from lycheedyke.protocol import EntryFault, EntryKind, Tenant, digest_key

SCHEME = 'bearer'
# A key that is longer is not looked up.
MAX_KEY_CHARACTERS = 1024


class TenantDirectory:
    """The tenants of one configuration, by the digests of their keys.

    A look-up takes one digest, whatever the number of keys.

        >>> tenant = Tenant('shop', (digest_key('k-1'),))
        >>> TenantDirectory((tenant,)).identify(('Bearer k-1',)).name
        'shop'

    Args:
        tenants: the tenants.

    Attributes:
        faults: the tenants that are not identified by some of their keys.
    """

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        """Indexes the keys; one that two tenants hold names neither."""
        self._by_name: dict[str, Tenant] = {}
        self.faults: list[EntryFault] = []
        for tenant in tenants:
            self._add_name(tenant)
        self._by_digest: dict[bytes, Tenant | None] = {}
        for tenant in self._by_name.values():
            self._add_keys(tenant)

    def __repr__(self) -> str:
        """Returns the number of tenants."""
        return f'<TenantDirectory of {len(self._by_name)} tenants>'

    def __len__(self) -> int:
        """Returns the number of tenants."""
        return len(self._by_name)

    def all(self) -> tuple[Tenant, ...]:
        """Returns all tenants."""
        return tuple(self._by_name.values())

    def find(self, name: str) -> Tenant | None:
        """Returns a tenant by its name."""
        return self._by_name.get(name)

    def identify(self, authorizations: Sequence[str]) -> Tenant | None:
        """Returns the tenant whose key a request carries.

        Args:
            authorizations: the values of its `Authorization` fields.

        Returns:
            None unless there is one field, with a key that one tenant holds.
        """
        if len(authorizations) != 1:
            return None
        scheme, _, key = authorizations[0].strip().partition(' ')
        key = key.strip()
        if scheme.lower() != SCHEME or len(key) > MAX_KEY_CHARACTERS:
            return None
        return self._by_digest.get(digest_key(key)) if key else None

    def _add_name(self, tenant: Tenant) -> None:
        if tenant.name in self._by_name:
            self._report(tenant, 'another tenant has this name')
            return
        self._by_name[tenant.name] = tenant

    def _add_keys(self, tenant: Tenant) -> None:
        for digest in set(tenant.key_digests):
            holder = self._by_digest.setdefault(digest, tenant)
            if holder is not tenant:
                self._by_digest[digest] = None
                self._report(tenant, 'another tenant holds one of its keys')

    def _report(self, tenant: Tenant, fault: str) -> None:
        self.faults.append(EntryFault(EntryKind.tenant, tenant.name, fault))
