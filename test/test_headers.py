"""Which headers reach an upstream, and which the caller."""

# What happened: on a first play of a deployment where callers send headers
# that are the system's own, 67 to 109 requests a day ran with a caller's
# Hold, Pin-Ms, Kv-Backup or Kv-From.  Sequence: a caller sends such a header
# with an ordinary request; the gateway passes on all headers but the few that
# it sets itself; the upstream takes the header for an order of the router and
# reserves memory, copies it elsewhere or goes on from another run's.  Cause:
# the gateway dropped what it sets today, not what is the system's to set.
# Settled by the upstreams' own record of the headers they ran with.

import asyncio
import itertools
from test.test_platform import read_events
from test.test_platform import scenario
from test.test_platform_edges import raw
import types

from hypothesis import given
from hypothesis import strategies
import pytest

from rowanport.errors import UpstreamError
from rowanport.gateway.exchange import Exchange
from rowanport.gateway.exchange import NotExecuted
from rowanport.gateway.headers import HeaderFilter
from rowanport.gateway.job import Job
from rowanport.platform.words import DIALECT
from rowanport.web.server import HttpRequest

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
# What a caller may say, and what nobody has heard of.
CALLERS_OWN = (
    ("X-Rowanport-Request-Id", "r1"),
    ("X-Rowanport-Model", "m"),
    ("X-Rowanport-Token-Count", "100,30"),
    ("X-Rowanport-Prompt-Prefix", "aa:60,bb:40"),
    ("Length-Hint", "17"),
    ("Host", "feed.example"),
    ("Content-Type", "text/plain"),
    ("Accept", "a, b"),
    ("Accept", "c"),
    ("X-Hold", "mine"),
    ("Holder", "mine"),
    ("Kv", ""),
)
HOP_BY_HOP = (
    ("Keep-Alive", "timeout=5"),
    ("TE", "trailers"),
    ("Trailer", "Hold"),
    ("Upgrade", "h2c"),
    ("Proxy-Authorization", "Basic x"),
    ("Proxy-Connection", "keep-alive"),
    ("Expect", "100-continue"),
    ("Content-Length", "3"),
    ("Transfer-Encoding", "chunked"),
)
CASES = (str, str.lower, str.upper, str.swapcase)
# Upstreams that read headers as CGI variables take these for the same name.
SPELLINGS = (str, lambda name: name.replace("-", "_"))


def encode(fields):
    return [(name.encode(), value.encode()) for name, value in fields]


def spell(row, case, spelling):
    name, value = row
    return spelling(case(name)), value


def filter_request(fields):
    return HeaderFilter(DIALECT).request_fields(encode(fields))


def filter_answer(fields):
    return HeaderFilter(DIALECT).answer_fields(encode(fields))


dropped_rows = strategies.builds(
    spell,
    strategies.sampled_from(SYSTEMS_OWN + (("Api-Key", "key"),)),
    strategies.sampled_from(CASES),
    strategies.sampled_from(SPELLINGS),
) | strategies.builds(
    spell,
    strategies.sampled_from(HOP_BY_HOP),
    strategies.sampled_from(CASES),
    strategies.just(str),
)
callers_rows = strategies.builds(
    spell,
    strategies.sampled_from(CALLERS_OWN),
    strategies.sampled_from(CASES),
    strategies.just(str),
)
marked_rows = strategies.lists(
    strategies.tuples(strategies.just(True), callers_rows)
    | strategies.tuples(strategies.just(False), dropped_rows),
    max_size=24,
)


@given(marked_rows)
def test_only_what_is_the_callers_passes_and_passes_unaltered(rows):
    """Whatever the case, number and order of the headers."""
    passed = filter_request([row for _callers, row in rows])
    assert passed == encode([row for callers, row in rows if callers])


@pytest.mark.parametrize("name", [name for name, _value in SYSTEMS_OWN])
def test_no_header_of_the_systems_own_passes(name):
    spellings = itertools.product(CASES, SPELLINGS)
    fields = [spell((name, "1"), *pair) for pair in spellings]
    assert filter_request(fields) == []


def test_headers_that_the_caller_calls_hop_by_hop_are_dropped():
    # Only the last Connection header was read.
    fields = [
        ("Connection", "close, X-One"),
        ("X-One", "1"),
        ("X-Two", "2"),
        ("X-Three", "3"),
        ("connection", " x-two ,,keep-alive"),
    ]
    assert filter_request(fields) == encode([("X-Three", "3")])


def test_what_the_router_decided_by_cannot_be_called_hop_by_hop():
    # The router would set tokens aside by a count that the upstream does not
    # see, and send the request under a host that was not asked for.
    kept = [row for row in CALLERS_OWN if row[0].startswith("X-Rowanport")]
    kept += [("Host", "feed.example"), ("Length-Hint", "17")]
    named = ("Connection", ", ".join(name for name, _value in kept))
    assert filter_request([named, *kept]) == encode(kept)


def test_an_answer_keeps_what_is_the_callers():
    kept = [
        ("X-Rowanport-Request-Id", "r1"),
        ("X-Rowanport-Server-Stamp", "stamp"),
        ("Versions", "3"),
        ("Content-Type", "text/plain"),
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=2"),
        ("Retry-After", "1"),
    ]
    own = [
        ("X-Rowanport-Instance-Id", "i-1"),
        ("x-rowanport-not-executed", "1"),
        ("Connection", "X-Hop"),
        ("Connection", "close"),
        ("X-Hop", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Content-Length", "3"),
    ]
    assert filter_answer(own + kept) == encode(kept)


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


class AnsweringClient:
    """Answers each request with one status and the marks that are due."""

    def __init__(self, status, **marks):
        self._status = status
        self._marks = marks

    async def request(self, *_request, check):
        answer = types.SimpleNamespace(
            status=self._status,
            headers={
                DIALECT.request_id: "r1",
                DIALECT.signature: "stamp",
                **{
                    name.replace("_", "-"): v
                    for name, v in self._marks.items()
                },
            },
            close=lambda: None,
        )
        return answer


def send_to(client):
    """Send a job to an upstream by a client; return the answer."""
    request = HttpRequest("POST", "/once/", {}, b"")
    route = types.SimpleNamespace(timeout=1.0)
    job = Job(request, "r1", route, "feed", 0.0)
    run = types.SimpleNamespace(name="one")
    upstream = types.SimpleNamespace(id="one", address="127.0.0.1:1", run=run)
    clock = types.SimpleNamespace(steady=lambda: 0.0)
    limits = types.SimpleNamespace(record_answer=lambda run, text: None)
    exchange = Exchange(client, DIALECT, clock, limits)
    return asyncio.run(exchange.send(job, upstream, None))


# Found by reading: an upstream's 408, 429 or 503 that lacks its mark of "not
# run" was passed on as it came.  To a caller these statuses are a promise, so
# it repeats what may not be repeated, although the upstream promised nothing.


@pytest.mark.parametrize("status", (408, 429, 503))
def test_a_refusal_without_its_mark_may_have_run(status):
    with pytest.raises(UpstreamError) as failure:
        send_to(AnsweringClient(status))
    assert failure.value.started
    assert not isinstance(failure.value, NotExecuted)


@pytest.mark.parametrize("status", (400, 408, 429, 503))
def test_a_refusal_with_its_mark_has_not_run(status):
    with pytest.raises(NotExecuted):
        send_to(AnsweringClient(status, x_rowanport_not_executed="1"))


@pytest.mark.parametrize("status", (200, 302, 400, 404, 500, 504))
def test_other_answers_are_the_upstreams_own(status):
    assert send_to(AnsweringClient(status)).status == status
