"""Calls of plain services: one request, one whole answer."""

from ..errors import UpstreamError

REQUEST_HEADER = "x-request-id"
KEY_HEADER = "idempotency-key"


class ServiceReply:
    """The whole answer of a plain service."""

    __slots__ = ("status", "kind", "body")

    def __init__(self, status, kind, body):
        self.status = status
        self.kind = kind
        self.body = body


class ServiceClient:
    """Calls plain services by address."""

    def __init__(self, client, timeout):
        self._client = client
        self._timeout = timeout

    async def call(
        self, address, request, method, path, body, kind, stall_policy
    ):
        """Send a request and return the ServiceReply.

        :param request: request id, passed on so that a service can refuse
            to do the same twice
        :param stall_policy: the Patience asked when the answer stalls
        :raises UpstreamError: ``started`` says if it may have run
        """
        headers = [
            ("content-type", kind),
            (REQUEST_HEADER, request),
            (KEY_HEADER, request),
        ]
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
        if answer.headers.get(REQUEST_HEADER, request) != request:
            raise UpstreamError(f"{address} answered another request")
        if answer.status in (429, 503):
            raise UpstreamError(f"{address} is busy", started=False)
        kind = answer.headers.get("content-type", "application/octet-stream")
        return ServiceReply(answer.status, kind, data)
