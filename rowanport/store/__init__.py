"""What lasts and who lives: stores of keys, lists of instances."""

from .directory import Directory
from .directory import Instance
from .directory import PlatformDirectory
from .store import PlatformStore
from .store import Store
from .store import TransactionStore
from .store import Value
from .store import Write

__all__ = [
    "Directory",
    "Instance",
    "PlatformDirectory",
    "PlatformStore",
    "Store",
    "TransactionStore",
    "Value",
    "Write",
]
