"""The platform's lagging list of instances."""

import abc

from ..errors import StoreUnavailable
from ..errors import UpstreamError
from .store import INSTANCE_HEADER

ROUTER_ROLE = "router"
LIVE = "live"
LEAVING = "leaving"


class Instance:
    """An instance as the platform lists it.

    :ivar role: router, or the group of an upstream
    :ivar state: live or leaving
    """

    __slots__ = ("name", "address", "role", "data_centre", "state")

    def __init__(self, name, address, role, data_centre, state):
        self.name = name
        self.address = address
        self.role = role
        self.data_centre = data_centre
        self.state = state


class Directory(abc.ABC):
    """Lists instances; what it says may be old."""

    @abc.abstractmethod
    async def instances(self):
        """Return the list of instances."""


class InstanceDirectory(Directory):
    """The platform's list over HTTP."""

    def __init__(self, client, address, instance, timeout):
        self._client = client
        self._address = address
        self._headers = [(INSTANCE_HEADER, instance)]
        self._timeout = timeout

    async def instances(self):
        try:
            status, rows = await self._client.request_json(
                self._address,
                "GET",
                "/instances",
                headers=self._headers,
                timeout=self._timeout,
            )
        except UpstreamError as error:
            raise StoreUnavailable(str(error)) from None
        if status != 200:
            raise StoreUnavailable(f"status {status}")
        return [
            Instance(
                row["name"],
                row["address"],
                row["role"],
                row["data_centre"],
                row["state"],
            )
            for row in rows
        ]
