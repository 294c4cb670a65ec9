"""Streams that outlive their engine.

The load concerned: engines crash or leave while they execute runs that must
not run twice.  The memory of such a run is copied to another engine, where the
run goes on.

This package does no I/O and has no clock.
"""

from .memory import MemoryBook
from .migration import Migration
from .migration import Phase
from .migration import Place
from .policy import MovePolicy

__all__ = [
    "MemoryBook",
    "Migration",
    "MovePolicy",
    "Phase",
    "Place",
]
