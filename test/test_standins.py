"""Stand-ins do what a test asks of them."""

import asyncio
import json

import pytest

from bench.ports import free_ports
from rowanport.errors import ConnectionRefused
from rowanport.errors import UpstreamError
from rowanport.standins import engine as engines
from rowanport.standins.engine import EngineStandin
from rowanport.web import HttpClient


def test_a_lethal_request_crashes_an_engine_that_comes_back(monkeypatch):
    monkeypatch.setattr(engines, "CRASH_SECONDS", 0.3)

    async def check():
        standin = EngineStandin(step=0.005)
        (port,) = free_ports(1)
        await standin.start("127.0.0.1", port)
        client = HttpClient()
        address = f"127.0.0.1:{port}"

        async def ask(name, text):
            body = {
                "messages": [{"role": "user", "content": text}],
                "max_tokens": 40,
            }
            answer = await client.request(
                address,
                "POST",
                "/v1/chat/completions",
                json.dumps(body).encode(),
                [("x-request-id", name)],
            )
            return await answer.read()

        try:
            await client.request_json(
                address, "POST", "/faults", {"lethal": "boom"}
            )
            beside = asyncio.ensure_future(ask("beside", "well"))
            await asyncio.sleep(0.05)
            with pytest.raises(UpstreamError):
                await ask("lethal", "boom")
            with pytest.raises(UpstreamError):
                await beside
            with pytest.raises(ConnectionRefused):
                await ask("away", "well")
            await asyncio.sleep(0.5)
            assert b"[DONE]" in await ask("beside", "well")
        finally:
            client.close()
            await standin.close()

    asyncio.run(check())
