"""Names a configuration of the registry without its content."""

import msgspec


class ConfigurationNotice(msgspec.Struct, frozen=True, array_like=True):
    """A configuration that the sender knows to exist.

    Attributes:
        key: the key of its item.
        revision: the registry's revision at which it was written.
        created: the revision at which the key was created.
        number: the number of the configuration.
        digest: identifies its content.
        is_held: whether it is in force although the registry has lost it.
    """

    key: str
    revision: int
    created: int
    number: int
    digest: bytes
    is_held: bool = False
