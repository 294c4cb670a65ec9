"""Client of plain services, whose answers are not streamed."""

from ..ends import EndCheck
from ..ends import EndRecord
from ..ends import watch
from ..errors import ConnectionEnded
from ..errors import UpstreamError
from ..notices import REFUSAL_STATUSES
from .refusal import read_refusal

REQUEST_HEADER = "x-request-id"
KEY_HEADER = "idempotency-key"


class ServiceReply:
    """The complete answer of a plain service.

    :ivar status: HTTP status code
    :ivar kind: content type
    :ivar body: bytes
    """

    __slots__ = ("status", "kind", "body")

    def __init__(self, status, kind, body):
        self.status = status
        self.kind = kind
        self.body = body


class ServiceClient:
    """Calls plain services by address.

    :param client: an HttpClient
    :param timeout: idle timeout within an answer in seconds
    """

    def __init__(self, client, timeout):
        self._client = client
        self._timeout = timeout
        self._check = EndCheck(client)
        # By address.
        self._ends = EndRecord()

    async def call(
        self, address, request, method, path, body, kind, stall_policy, source
    ):
        """Send a request and return the ServiceReply.

        :param request: request id, sent also as the idempotency key, so that a
            service can refuse to run the same request twice
        :param kind: content type of the body
        :param stall_policy: the Patience that decides whether to abandon a
            stalled answer
        :param source: the AnswerSource of the answer
        :raises UpstreamRefused: the service has no room for it
        :raises EndUnconfirmed: nothing shows that the answer is whole
        :raises UpstreamError: the call failed; ``started`` says whether it may
            have run
        """
        headers = [
            ("content-type", kind),
            (REQUEST_HEADER, request),
            (KEY_HEADER, request),
        ]
        try:
            answer = await self._client.request(
                address,
                method,
                path,
                body,
                headers,
                self._timeout,
                patience=stall_policy,
            )
            data = await answer.read()
        except ConnectionEnded:
            self._ends.add(address)
            raise
        if answer.headers.get(REQUEST_HEADER, request) != request:
            raise UpstreamError(f"answer from {address} to another request")
        if answer.status in REFUSAL_STATUSES:
            raise read_refusal(address, answer)
        if not answer.framed:
            await self._confirm(address, answer, source)
        kind = answer.headers.get("content-type", "application/octet-stream")
        return ServiceReply(answer.status, kind, data)

    async def _confirm(self, address, answer, source):
        """Confirm that an answer without a length is whole."""
        ended_at = self._ends.add(address)
        await self._check.confirm(answer, source)
        self._ends.remove(address, ended_at)

    def count_ends(self, address, ended_at):
        """Return how many answers of a service may have ended early.

        :param ended_at: event loop's time at about which their ends count
        """
        return self._ends.count(address, ended_at)

    async def watch(self, path):
        """Return the Instance that the open connections to a service show.

        :param path: a Path to it that requests may use from now on
        """
        self._client.keep(path)
        return await watch(self._client.open_paths(path.address))
