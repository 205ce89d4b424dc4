"""Tenants: who sends a request."""

from lycheedyke.state.tenants._directory import TenantDirectory

__all__ = ('TenantDirectory',)
