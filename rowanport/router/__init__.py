"""The router daemon: serves callers, peers and operators on one instance."""

from .daemon import Router

__all__ = ["Router"]
