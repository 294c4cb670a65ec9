"""What callers may send that routers and upstreams could read differently.

Named in docs/design/further.md, "Open".
"""

from test.platform_world import ID_HEADER
from test.test_stopping import RawCaller
from test.test_stopping import scenario
from unittest import mock

from rowanport.standins.upstream import UpstreamStandin

COUNT_HEADER = "x-rowanport-token-count"


@scenario
async def test_a_token_count_that_is_sent_twice_means_one_value(platform):
    # Guards against a router that reserves tokens by one value while the
    # upstream makes as many as the other one says.
    received = []
    answer = UpstreamStandin._answer

    async def record(upstream, connection, writer, request, body):
        received.extend(value for key, value in request.headers if key == NAME)
        await answer(upstream, connection, writer, request, body)

    lines = [
        "POST /stream/ HTTP/1.1",
        "host: feed.example",
        f"{ID_HEADER}: twice",
        "api-key: key-of-org",
        f"{COUNT_HEADER}: 100,3000",
        f"{COUNT_HEADER}: 100,30",
        "x-rowanport-prompt-prefix: aa:60,bb:40",
        "x-rowanport-model: m",
        "content-length: 0",
        "connection: close",
    ]
    caller = RawCaller(platform.callers)
    await caller.open()
    with mock.patch.object(UpstreamStandin, "_answer", record):
        await caller.send("\r\n".join([*lines, "", ""]).encode())
        head = await caller._reader.readuntil(b"\r\n\r\n")
    caller.close()
    assert head.startswith(b"HTTP/1.1 400") or len(received) == 1
    assert len(received) <= 1


NAME = COUNT_HEADER.encode()
