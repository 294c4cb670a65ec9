"""A request is explained by its own lines and what was believed before."""

import json

from typer.testing import CliRunner

from rowanport.ui import app
from rowanport.ui.explain import explain


def line(event, instance="r1", **fields):
    return json.dumps({"event": event, "instance": instance, **fields})


LOGS = [
    line("config_in_force", version=3),
    line("config_in_force", "r2", version=9),
    "not a line of ours",
    "  12.3 r1 " + line("budget_store", failing=True),
    line("request", request="other", outcome="done"),
    line("send", request="abc", outcome="failed"),
    line("config_in_force", version=4),
    line("request", request="abc", outcome="done"),
]


def test_lines_come_in_order_with_what_their_instance_believed():
    first, second = explain("abc", LOGS).lines
    assert first[0]["event"] == "send"
    assert first[1]["config_in_force"]["version"] == 3
    assert first[1]["budget_store"]["failing"]
    assert second[1]["config_in_force"]["version"] == 4


def test_the_command_prints_them_and_refuses_an_unknown_request():
    logs = "\n".join(LOGS)
    found = CliRunner().invoke(app, ["explain", "abc"], input=logs)
    assert found.exit_code == 0
    assert found.output.count("believed") == 4
    missing = CliRunner().invoke(app, ["explain", "nobody"], input=logs)
    assert missing.exit_code != 0
