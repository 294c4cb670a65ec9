"""Routing configuration: routes, services, organisations and limits."""

from .table import EngineLimits
from .table import Limits
from .table import Organisation
from .table import Route
from .table import RouteKind
from .table import RoutingTable
from .table import Service

__all__ = [
    "EngineLimits",
    "Limits",
    "Organisation",
    "Route",
    "RouteKind",
    "RoutingTable",
    "Service",
]
