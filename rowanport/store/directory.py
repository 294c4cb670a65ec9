"""The platform's directory of instances, whose answers may be stale."""

import abc

from ..errors import StoreUnavailable
from ..errors import UpstreamError
from .store import INSTANCE_HEADER

ROUTER_ROLE = "router"
LIVE = "live"
LEAVING = "leaving"


class Instance:
    """An instance as the platform lists it.

    :ivar role: ``ROUTER_ROLE``, or the name of an upstream's group
    :ivar state: ``LIVE`` or ``LEAVING``
    """

    __slots__ = ("name", "address", "role", "data_centre", "state")

    def __init__(self, name, address, role, data_centre, state):
        self.name = name
        self.address = address
        self.role = role
        self.data_centre = data_centre
        self.state = state


class Directory(abc.ABC):
    """A list of instances, which may be out of date."""

    @abc.abstractmethod
    async def instances(self):
        """Return a list of :class:`Instance`."""


class InstanceDirectory(Directory):
    """Reads the platform's list of instances over HTTP.

    :param client: an HttpClient
    :param address: IP and port of the platform's directory
    :param instance: name of this instance, sent with each request
    :param timeout: time limit of a request in seconds
    """

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
