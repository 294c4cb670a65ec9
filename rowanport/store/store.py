"""Interfaces of the key-value stores that hold all persistent state."""

import abc
import urllib.parse

from ..ends import AnswerSource
from ..ends import EndCheck
from ..ends import Instance
from ..ends import PROXY_FAILURES
from ..errors import StoreBusy
from ..errors import StoreConflict
from ..errors import StoreUnavailable
from ..errors import UpstreamError

VERSION_HEADER = "x-version"
INSTANCE_HEADER = "x-instance"
VALUE_LIMIT = 1024 * 1024
# The key that is read to find out whether the store answers; it need not
# exist.
PROBE_KEY = "rowanport/probe"


class Value:
    """A stored value.

    :ivar data: the value in bytes; empty if the key does not exist
    :ivar version: increases with each write; 0 if the key does not exist
    """

    __slots__ = ("data", "version")

    def __init__(self, data, version):
        self.data = data
        self.version = version


class Store(abc.ABC):
    """A key-value store with compare-and-swap on whole values.

    Each call raises StoreUnavailable if there was no valid response, in
    which case a write may have taken effect, and StoreBusy if the store
    rejected it by its rate limit, in which case it has not.
    """

    @abc.abstractmethod
    async def get(self, key):
        """Return the Value of a key."""

    @abc.abstractmethod
    async def put(self, key, data, version):
        """Write a key if it still has the given version.

        :returns: the new version
        :raises StoreConflict: if the key has another version
        """

    @abc.abstractmethod
    async def watch(self, key, version, wait):
        """Wait for a version newer than the given one and return its Value.

        Returns the current Value if there is none within the wait.

        :param wait: longest wait in seconds
        """


class Write:
    """The write of one key in a transaction.

    :ivar version: version that the key must have, 0 if it must not exist,
        None for any
    :ivar lease: id of the lease whose end deletes the key, or None
    """

    __slots__ = ("key", "data", "version", "lease")

    def __init__(self, key, data, version, lease=None):
        self.key = key
        self.data = data
        self.version = version
        self.lease = lease


class TransactionStore(abc.ABC):
    """A key-value store that writes several keys atomically."""

    @abc.abstractmethod
    async def get_value(self, key, stale=False):
        """Return the Value of a key.

        :param stale: whether a value that is seconds old is acceptable
        :raises StoreError: if the call failed
        """

    @abc.abstractmethod
    async def grant_lease(self, seconds):
        """Create a lease and return its id.

        :param seconds: time to live of the lease
        :raises StoreError: if the call failed
        """

    @abc.abstractmethod
    async def renew_lease(self, lease):
        """Renew a lease for the time to live that it was granted with.

        :raises LeaseOver: if the lease has expired
        :raises StoreError: if the call failed; the lease may still be
            renewed later
        """

    @abc.abstractmethod
    async def commit(self, writes):
        """Write all keys if each has the version that its Write requires.

        :returns: the new version, which is the same for all keys
        :raises StoreConflict: if a key has another version; holds the
            Values in the store
        :raises LeaseOver: if a lease has expired; nothing was written
        :raises StoreBusy: if the store rejected the call; nothing was
            written
        :raises StoreUnavailable: if there was no response; the writes may
            still take effect
        """


class ValueSource(AnswerSource):
    """What a reader of a value knows of the store that sent it.

    :param ask: coroutine function that reads a key over a Path and returns the
        HttpAnswer
    """

    may_run_again = True
    may_be_asked = True

    def __init__(self, ask):
        self._ask = ask

    def leaves_at(self, ended_at):
        # A store that leaves is not announced, and serves its last calls.
        return False

    def cut_together(self, ended_at):
        return False

    async def ask_instance(self, path):
        try:
            answer = await self._ask(path)
        except UpstreamError:
            return Instance.GONE
        answer.close()
        if answer.status in PROXY_FAILURES:
            return Instance.GONE
        return Instance.UNNAMED


class KeyValueStore(Store):
    """Client of a key-value store over HTTP, as the stand-in serves it.

    :param client: an HttpClient
    :param address: IP and port of the store
    :param instance: name of this instance
    :param timeout: time limit of a call in seconds; a watch adds its wait
    """

    def __init__(self, client, address, instance, timeout):
        self._client = client
        self._address = address
        self._headers = [(INSTANCE_HEADER, instance)]
        self._timeout = timeout
        self._ends = EndCheck(client)
        self._source = ValueSource(self._probe)
        self.reads = 0
        self.writes = 0

    async def get(self, key):
        self.reads += 1
        return await self._call("GET", _path(key), b"", self._timeout)

    async def put(self, key, data, version):
        if len(data) > VALUE_LIMIT:
            raise ValueError(f"value of {key} exceeds the limit of 1 MiB")
        self.writes += 1
        path = _path(key, version=version)
        value = await self._call("PUT", path, data, self._timeout)
        return value.version

    async def watch(self, key, version, wait):
        self.reads += 1
        path = _path(key, after=version, wait=wait)
        return await self._call("GET", path, b"", self._timeout + wait)

    async def _call(self, method, path, body, timeout):
        try:
            answer = await self._request(method, path, body, timeout)
            data = await answer.read()
            if method == "GET" and answer.status == 200 and not answer.framed:
                # Of a write and of a refusal the head alone counts.
                await self._ends.confirm(answer, self._source)
        except UpstreamError as error:
            raise StoreUnavailable(str(error)) from None
        if answer.status == 409:
            raise StoreConflict(path)
        if answer.status == 429:
            raise StoreBusy(path)
        if answer.status not in (200, 404):
            raise StoreUnavailable(f"status {answer.status}")
        return Value(data, int(answer.headers.get(VERSION_HEADER, 0)))

    async def _request(self, method, path, body, timeout, over=None):
        return await self._client.request(
            self._address,
            method,
            path,
            body,
            headers=self._headers,
            timeout=timeout,
            over=over,
        )

    async def _probe(self, over):
        self.reads += 1
        path = _path(PROBE_KEY)
        return await self._request("GET", path, b"", self._timeout, over)


def _path(key, **query):
    path = "/kv/" + urllib.parse.quote(key)
    return path + ("?" + urllib.parse.urlencode(query) if query else "")
