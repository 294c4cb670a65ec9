"""Fields of a chat request that the own interface does not account for.

docs/design/further.md, "Open": a body's unknown fields are passed on.
"""

import json
from unittest import mock

import pytest

from rowanport.errors import RequestError
from rowanport.router.chat import ChatRunner
from rowanport.schema.messages import GroupRecord
from rowanport.web.server import HttpRequest

MODEL = "forecast"
LIMIT = 100
COUNT = 3
MESSAGE = {"role": "user", "content": "how is the dam?"}
TOOL = {"type": "function", "function": {"name": "f" * 4000}}


def make_job(**fields):
    """Return the Job of a chat request with some further fields."""
    router = mock.MagicMock()
    group = GroupRecord(MODEL, "engine", 0, 64, 4.0)
    router.engine_group.return_value = group
    runner = ChatRunner(router, None)
    runner.decide = mock.MagicMock()
    runner.decide.return_value.group = MODEL
    body = {
        "model": MODEL,
        "messages": [MESSAGE],
        "max_tokens": LIMIT,
        **fields,
    }
    path = "/v1/chat/completions"
    request = HttpRequest("POST", path, {}, json.dumps(body).encode())
    call = mock.MagicMock()
    call.organisation.name = "org"
    return runner.make_job(call, request, 0.0)


def test_the_known_fields_are_paid_for():
    assert LIMIT < make_job().cost < 2 * LIMIT


@pytest.mark.parametrize(
    "fields, cost",
    [
        ({"n": COUNT}, COUNT * LIMIT),
        ({"best_of": COUNT}, COUNT * LIMIT),
        ({"tools": [TOOL]}, LIMIT + 1000),
    ],
    ids=["n", "best_of", "tools"],
)
def test_a_field_that_costs_tokens_is_paid_for_or_not_passed_on(fields, cost):
    # Guards against an engine that makes, or reads, more tokens than were
    # reserved for the request.
    try:
        job = make_job(**fields)
    except RequestError:
        return
    assert job.cost >= cost or not fields.keys() & job.body.keys()
