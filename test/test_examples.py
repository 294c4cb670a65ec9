"""The examples in the documentation run as they are written."""

import asyncio
import pathlib

from examples import embedding
from rowanport.policy import Policy
from rowanport.policy import run_cases
from rowanport.ui.policy import read_policy

ROOT = pathlib.Path(__file__).resolve().parent.parent


def test_the_embedded_ledger_serves_what_is_paid_for():
    served, budget = asyncio.run(embedding.main())
    # 1,000 tokens are four worst cases of 250, or more after settlement.
    assert len(served) >= 4
    assert budget.settled == 200 * len(served) <= budget.total


def test_the_example_policy_passes_its_cases():
    record = read_policy(ROOT / "examples" / "policy.toml")
    assert record.cases
    assert not run_cases(Policy(record.source), record.cases)
