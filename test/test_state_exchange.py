"""Reports of components' state between routers."""

import asyncio

import pytest

from rowanport.errors import MessageError
from rowanport.errors import PeerError
from rowanport.gateway.state_exchange import StateComponent
from rowanport.gateway.state_exchange import StateExchange
from rowanport.incarnation import STATE_PROTOCOL
from rowanport.schema.messages import StateReport
from rowanport.schema.messages import StateRow


class Total(StateComponent):
    """Adds up a number of each router."""

    name = "total"

    def __init__(self, own):
        self.own = own
        self.seen = {}
        self.fleet = None
        self.enabled = True

    @property
    def active(self):
        return self.enabled

    def report(self):
        return str(self.own).encode()

    def collect(self, data, sender):
        try:
            self.seen[sender] = int(data)
        except ValueError:
            raise MessageError("not a number") from None

    def summarize(self, receiver):
        return str(self.own + sum(self.seen.values())).encode()

    def apply(self, data, sender):
        self.fleet = int(data)


class Members:
    """A fleet whose first routers collect reports."""

    def __init__(self, collectors, protocol=STATE_PROTOCOL):
        self._collectors = collectors
        self._protocol = protocol

    def delegates(self, duty, least, share):
        return self._collectors

    def speaks(self, address, protocol):
        return self._protocol >= protocol


class Peers:
    """Passes calls to the exchanges of other routers in memory."""

    def __init__(self):
        self.exchanges = {}
        self.calls = 0

    async def call(self, address, message, timeout):
        self.calls += 1
        if address not in self.exchanges:
            raise PeerError(f"{address} did not answer")
        ask = type(message).unpack(message.pack())
        answer = self.exchanges[address].answer(ask)
        return type(answer).unpack(answer.pack())


def make_fleet(numbers, protocol=STATE_PROTOCOL):
    """Return the Peers and the components of routers by address."""
    peers, components = Peers(), {}
    members = Members(["a"], protocol)
    for address, number in numbers.items():
        exchange = StateExchange(peers, members, address)
        components[address] = Total(number)
        exchange.add(components[address])
        peers.exchanges[address] = exchange
    return peers, components


def exchange(peers, address):
    asyncio.run(peers.exchanges[address].exchange())


def test_a_router_learns_the_state_of_the_fleet_from_a_collector():
    # Guards against decisions on a router's own requests alone.
    peers, components = make_fleet({"a": 1, "b": 2, "c": 4})
    exchange(peers, "b")
    exchange(peers, "c")
    assert components["c"].fleet == 7
    assert components["a"].fleet is None


def test_nothing_is_sent_while_no_component_is_active():
    # Deployments that use none of the components must not pay for reports.
    peers, components = make_fleet({"a": 1, "b": 2})
    components["b"].enabled = False
    exchange(peers, "b")
    assert peers.calls == 0


def test_a_collector_of_an_earlier_build_is_not_asked():
    # A message of an unknown kind would end the connection to it.
    peers, _components = make_fleet({"a": 1, "b": 2}, STATE_PROTOCOL - 1)
    exchange(peers, "b")
    assert peers.calls == 0


def test_a_lost_answer_changes_nothing():
    peers, components = make_fleet({"a": 1, "b": 2})
    del peers.exchanges["a"]
    exchange(peers, "b")
    assert components["b"].fleet is None


@pytest.mark.parametrize("name, data", [("total", b"?"), ("other", b"1")])
def test_rows_that_cannot_be_read_are_skipped(name, data):
    # One faulty row must not cost the reporting router the other answers.
    peers, components = make_fleet({"a": 1})
    rows = [StateRow(name, data), StateRow("total", b"2")]
    peers.exchanges["a"].answer(StateReport("b", rows))
    assert components["a"].seen == {"b": 2}
