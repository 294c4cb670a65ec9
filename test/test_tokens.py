"""What the account of a play's tokens reads out of logs."""

import json

from bench.tokens import read_lines
from bench.tokens import TokenAccounts


def log_line(time, instance, event, **fields):
    return f"  {time} {instance} " + json.dumps({"event": event, **fields})


ENDED = {"tokens_in": 100, "out": 40, "under_way": 30}
RECOVERED = log_line(
    2.0,
    "a",
    "tokens_recovered",
    run="one",
    accounts={"org": {**ENDED, "let_go": 20, "unspent": 40}},
)
STRANDED = log_line(
    9.0,
    "b",
    "tokens_stranded",
    run="two",
    accounts={"org": {**ENDED, "let_go": 60, "unspent": 0}},
)
LINES = (
    log_line(0.1, "a", "budget_total", budget="org", total=1000),
    log_line(0.2, "a", "budget_batch", moves={"org": 100}),
    log_line(0.3, "a", "request", organisation="org", used=10),
    log_line(0.4, "a", "request", organisation="org", used=None),
    "what the bench prints is passed over",
    '  1.0 a {"event": "torn {"event": "whole"}',
    RECOVERED,
    RECOVERED,
    STRANDED,
    log_line(9.1, "b", "tokens_stranded", heir="three", tokens={"org": 5}),
    log_line(9.2, "a", "budgets_held", held={"org": [7, 900]}),
)


def test_the_account_of_a_play_sums_what_ended_runs_left(tmp_path):
    path = tmp_path / "play.log"
    path.write_text("\n".join(LINES))
    accounts = TokenAccounts()
    for _, instance, fields in read_lines(path):
        accounts.read(instance, fields)
    ((name, sums),) = accounts.rows()
    assert name == "org"
    assert dict(sums) == {
        "paid": 1000,
        "drawn": 100,
        "used": 10,
        "under_way": 60,
        # A recovery that was logged twice counts once.
        "given_back": 40,
        "let_go": 20,
        "stranded": 60,
        "held": 7,
        "nowhere": 43,
    }
