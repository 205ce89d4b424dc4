"""The messages by which instances ask issuers for permits of tenants."""

import msgspec

from lycheedyke.state.rates._quotas import Quota


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks for permits of one tenant, and gives unused ones back.

    Attributes:
        tenant: the name of the tenant.
        version: the configuration that the sender has.
        rate: the tenant's rate in it.
        burst: the tenant's burst in it.
        wanted: the number of permits.
        arrived: the requests of the tenant since the last question.
        returned: the permits that were not used.
        returned_to: the incarnation of the issuer of the returned permits.
    """

    tenant: str
    version: int
    rate: float
    burst: float
    wanted: int
    arrived: int = 0
    returned: int = 0
    returned_to: str = ''

    @property
    def quota(self) -> Quota:
        """The quota of the tenant, as the sender knows it."""
        return Quota(self.rate, self.burst)


class QuotaQuestion(msgspec.Struct, frozen=True, array_like=True):
    """All that an instance asks one issuer at a time.

    Attributes:
        instance: the name of the instance that needs the permits.
        asks: one for each tenant.
        ended: the incarnations of issuers that have refused a connection.
        is_relayed: whether another issuer has passed it on.
    """

    instance: str
    asks: tuple[QuotaAsk, ...]
    ended: tuple[str, ...] = ()
    is_relayed: bool = False


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """The permits of one tenant that an instance gets.

    Attributes:
        tenant: the name of the tenant.
        issuer: the incarnation of the issuer.
        starts_ms: when each permit becomes valid, in ms from now.
        life_ms: how long each is valid, in ms.
        wait_ms: when to ask again, in ms from now; zero if more are free.
        use: the requests of all instances over the quota; None if the issuer
            does not know it.
    """

    tenant: str
    issuer: str
    starts_ms: tuple[int, ...] = ()
    life_ms: int = 0
    wait_ms: int = 0
    use: float | None = None


class QuotaAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a question.

    Attributes:
        grants: one for each tenant, in any order.
    """

    grants: tuple[QuotaGrant, ...]
