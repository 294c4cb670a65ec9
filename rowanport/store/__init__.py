"""The platform's services: the key-value store and the instance list."""

from .directory import Directory
from .directory import Instance
from .directory import PlatformDirectory
from .store import PlatformStore
from .store import Store
from .store import Value

__all__ = [
    "Directory",
    "Instance",
    "PlatformDirectory",
    "PlatformStore",
    "Store",
    "Value",
]
