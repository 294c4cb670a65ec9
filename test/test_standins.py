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


async def with_engine(check):
    """Run a check with an engine's HttpClient and address."""
    standin = EngineStandin(step=0.005)
    (port,) = free_ports(1)
    await standin.start("127.0.0.1", port)
    client = HttpClient()
    try:
        await check(client, f"127.0.0.1:{port}")
    finally:
        client.close()
        await standin.close()


async def ask(client, address, name, text):
    """Ask an engine; return the HttpAnswer."""
    body = {
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 40,
    }
    return await client.request(
        address,
        "POST",
        "/v1/chat/completions",
        json.dumps(body).encode(),
        [("x-request-id", name)],
    )


async def set_fault(client, address, **fault):
    await client.request_json(address, "POST", "/faults", fault)


def test_a_lethal_request_crashes_an_engine_that_comes_back(monkeypatch):
    monkeypatch.setattr(engines, "CRASH_SECONDS", 0.3)

    async def check(client, address):
        async def read(name, text):
            return await (await ask(client, address, name, text)).read()

        await set_fault(client, address, lethal="boom")
        beside = asyncio.ensure_future(read("beside", "well"))
        await asyncio.sleep(0.05)
        with pytest.raises(UpstreamError):
            await read("lethal", "boom")
        with pytest.raises(UpstreamError):
            await beside
        with pytest.raises(ConnectionRefused):
            await read("away", "well")
        await asyncio.sleep(0.5)
        assert b"[DONE]" in await read("beside", "well")

    asyncio.run(with_engine(check))


def test_an_engine_names_a_limit_as_long_as_it_is_told_to():
    async def check(client, address):
        for limit in ("1.5", ""):
            await set_fault(client, address, limit=limit)
            answer = await ask(client, address, f"r{limit}", "well")
            assert answer.headers.get("server-limit", "") == limit
            await answer.read()

    asyncio.run(with_engine(check))
