"""Interfaces and clients of key-value stores and instance directories."""

from .directory import Directory
from .directory import Instance
from .directory import InstanceDirectory
from .reach import Reachability
from .store import KeyValueStore
from .store import Store
from .store import TransactionStore
from .store import Value
from .store import Write

__all__ = [
    "Directory",
    "Instance",
    "InstanceDirectory",
    "KeyValueStore",
    "Reachability",
    "Store",
    "TransactionStore",
    "Value",
    "Write",
]
