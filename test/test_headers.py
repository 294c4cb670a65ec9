"""Which headers reach an upstream, and which the caller."""

# What happened: on a first play of a deployment where callers send headers
# that are the system's own, 67 to 109 requests a day ran with a caller's
# Hold, Pin-Ms, Kv-Backup or Kv-From.  Sequence: a caller sends such a header
# with an ordinary request; the gateway passes on all headers but the few that
# it sets itself; the upstream takes the header for an order of the router and
# reserves memory, copies it elsewhere or goes on from another run's.  Cause:
# the gateway dropped what it sets today, not what is the system's to set.
# Settled by the upstreams' own record of the headers they ran with.

from test.test_platform import read_events
from test.test_platform import scenario
from test.test_platform_edges import raw

# What the pages name as the system's to set, each with a value that works.
SYSTEMS_OWN = (
    ("Hold", "h-1"),
    ("Pin-Ms", "4000"),
    ("Kv-Backup", "10.0.0.1:80"),
    ("Kv-From", "10.0.0.1:80/handle"),
    ("Kv-Fetch", "10.0.0.1:80"),
    ("Priority", "0"),
    ("Expect-Version", "7"),
    ("Wait-Ms", "1000"),
    ("X-Rowanport-Expect-Instance", "elsewhere"),
    ("X-Rowanport-Tenant", "another"),
)


@scenario
async def test_an_upstream_runs_without_a_callers_orders(platform):
    orders = {name.replace("-", "_"): value for name, value in SYSTEMS_OWN}
    await platform.ask("/safe/", length_hint="17", **orders)
    stream = await platform.stream("/stream/", "r2")
    await read_events(stream)
    plain, generation = platform.runs
    own = {name.lower() for name, _value in SYSTEMS_OWN}
    set_here = {"x-rowanport-tenant", "x-rowanport-expect-instance"}
    assert own & plain.keys() == set_here
    assert plain["x-rowanport-tenant"] == "org"
    assert plain["x-rowanport-expect-instance"] in ("one", "two")
    assert plain["length-hint"] == "17"
    assert own & generation.keys() == set_here | {"priority"}
    assert generation["priority"] == "1"


@scenario
async def test_trailers_of_a_callers_body_reach_no_upstream(platform):
    answer, _seconds = await raw(
        platform,
        b"POST /safe/ HTTP/1.1\r\nhost: feed.example\r\n"
        b"x-rowanport-request-id: r1\r\napi-key: key-of-org\r\n"
        b"connection: close\r\ntransfer-encoding: chunked\r\n"
        b"trailer: hold\r\n\r\n3\r\nabc\r\n0\r\n"
        b"hold: h-1\r\nkv-from: 10.0.0.1:80/x\r\n\r\n",
    )
    assert answer.startswith(b"HTTP/1.1 200")
    (run,) = platform.runs
    assert not {"hold", "kv-from", "trailer"} & run.keys()


@scenario
async def test_a_count_that_is_billed_reaches_the_upstream(platform):
    # With "Connection: X-Rowanport-Token-Count" it was read, and not sent.
    answer = await platform.ask(
        "/stream/",
        connection="x-rowanport-token-count, x-mine",
        x_rowanport_token_count="100,30",
        x_mine="1",
    )
    await read_events(answer)
    (run,) = platform.runs
    assert run["x-rowanport-token-count"] == "100,30"
    assert "x-mine" not in run
