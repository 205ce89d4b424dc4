"""How configurations reach an instance."""

from lycheedyke.coordination.configurations._arrivals import (
    ConfigurationArrivals,
    Transfer,
)

__all__ = ('ConfigurationArrivals', 'Transfer')
