"""The command that lists what gets no, or few, new requests."""

import asyncio
import json

from typer.testing import CliRunner

from bench.ports import free_ports
from rowanport.schema.messages import ColdRow
from rowanport.schema.messages import Placement
from rowanport.schema.messages import PlacementAsk
from rowanport.ui import app
from rowanport.wire import PeerServer

SECRET = "a secret of the fleet"


async def answer(message):
    assert isinstance(message, PlacementAsk)
    cold = ColdRow("i-1", "llm", "hall-b", 2.34, 1)
    return Placement(120, ["hall-a"], 0, [cold])


def test_evacuated_data_centres_and_cold_upstreams_are_listed():
    async def run():
        (port,) = free_ports(1)
        server = PeerServer(answer, SECRET)
        await server.start("127.0.0.1", port)
        line = ["placement", f"127.0.0.1:{port}", "--json", "--secret", SECRET]
        result = await asyncio.to_thread(CliRunner().invoke, app, line)
        await server.close()
        return result

    result = asyncio.run(run())
    assert result.exit_code == 0
    evacuated, cold = json.loads(result.stdout)
    assert (evacuated["data_centre"], evacuated["state"]) == (
        "hall-a",
        "evacuated",
    )
    assert cold["upstream"] == "i-1"
    assert (cold["seconds_left"], cold["requests_a_second"]) == (2.3, 1)
