"""The router daemon: callers, peers and operators at one instance."""

from .daemon import Router

__all__ = ["Router"]
