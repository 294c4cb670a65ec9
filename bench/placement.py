"""``python -m bench.placement``: what evacuations and cold upstreams cost.

Processor time at the target size: 420 routers, 600 upstreams of 17 services,
3.1 requests a second at each router.
"""

import contextlib
import time

from rowanport.errors import RequestError
from rowanport.evacuations import Evacuations
from rowanport.gateway.cold_starts import ColdStarts
from rowanport.gateway.metrics import GatewayMetrics
from rowanport.gateway.pool import UpstreamPool
from rowanport.gateway.upstream import Upstream
from rowanport.gateway.upstream import UpstreamList
from rowanport.gateway.upstream_delta import NO_LIST
from rowanport.gateway.upstream_delta import UpstreamDelta
from rowanport.routing import Service
from rowanport.schema.messages import SuspectNews
from rowanport.schema.messages import ViewGive

ROUTERS = 420
UPSTREAMS = 600
SERVICES = 17
DATA_CENTRES = 12
COLD_RATE = 6.6
COLD_SECONDS = 60.0
REPEATS = 2000


class _Clock:
    def steady(self):
        return 1000.0


class _Views:
    starting_up = False

    def __init__(self):
        self.evacuations = Evacuations()


class _Table:
    def __init__(self):
        self.services = {
            f"s{number}": Service(f"s{number}", "", 0, 1, 3.0, COLD_RATE)
            for number in range(SERVICES)
        }


class _Members:
    knows_peers = True

    def __init__(self):
        self.addresses = tuple(
            f"10.0.{n // 250}.{n % 250}:8000" for n in range(ROUTERS)
        )


class _Router:
    """The parts of a gateway that decide where requests may go."""

    def __init__(self, cold):
        self.views = _Views()
        self.table = _Table()
        self.members = _Members()
        self.pool = UpstreamPool(self.views.evacuations)
        until = _Clock().steady() + COLD_SECONDS if cold else 0.0
        self.upstreams = UpstreamList(
            1,
            [
                Upstream(
                    f"i-{number:08x}",
                    f"s{number % SERVICES}",
                    f"10.9.{number // 250}.{number % 250}:80",
                    f"hall-{number % DATA_CENTRES}",
                    64,
                    False,
                    version="v1",
                    cold_until=until,
                )
                for number in range(UPSTREAMS)
            ],
        )
        self.pool.update(self.upstreams.upstreams)
        self.cold = ColdStarts(
            self, self.members.addresses[0], _Clock(), GatewayMetrics()
        )


def _microseconds(function):
    begun = time.perf_counter()
    for _number in range(REPEATS):
        function()
    return 1e6 * (time.perf_counter() - begun) / REPEATS


def _measure_request(name, cold, evacuated):
    router = _Router(cold)
    names = [f"hall-{number}" for number in range(evacuated)]
    router.views.evacuations.replace(5, names, 0.0)
    now = _Clock().steady()

    def choose():
        candidates = router.pool.candidates("s0", (), now)
        # A router that sends to none of the cold upstreams refuses.
        with contextlib.suppress(RequestError):
            router.cold.with_room(candidates)

    begun = time.perf_counter()
    choose()
    first = 1e6 * (time.perf_counter() - begun)
    print(
        f"{name:38} {_microseconds(choose):8.1f} us a request,"
        f" {first:8.1f} us for the first one"
    )


def _measure_bytes():
    news = SuspectNews(0, [])
    plain = ViewGive(9, b"", 9, b"", 1e9, [], news, [], 100, 100, 0, 120)
    one = ViewGive(*(getattr(plain, slot) for slot in plain.__slots__))
    one.evacuations, one.evacuated = 123456, ["hall-a"]
    known = ViewGive(*(getattr(plain, slot) for slot in plain.__slots__))
    known.evacuations = 123456
    base = len(plain.pack())
    print(f"answer to a poll: {base} bytes before evacuations are known")
    print(f"  none evacuated: {len(known.pack()) - base} bytes more")
    print(f"  one evacuated: {len(one.pack()) - base} bytes more")
    for cold in (False, True):
        upstreams = list(_Router(cold).upstreams.upstreams.values())[:50]
        delta = UpstreamDelta(NO_LIST, (9, 0), 7, upstreams, [], 7)
        size = len(delta.pack(_Clock().steady()))
        print(f"a list of 50 {'cold' if cold else 'warm'}: {size} bytes")


def main():
    """Print the costs."""
    _measure_request("all warm", False, 0)
    _measure_request("all warm, 4 data centres evacuated", False, 4)
    _measure_request("all cold", True, 0)
    _measure_bytes()


if __name__ == "__main__":
    main()
