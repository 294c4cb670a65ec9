"""Run the state machines longer, with fresh randomness each time.

Prints how many steps ran; exits non-zero at the first failure found.
"""

import argparse
import sys
from test import test_ledger
from test import test_prepaid
from unittest import mock

from rowanport.ledger import keeper


def count_steps(machine, counts):
    """Return the machine, counting steps, requests and refusals."""

    class Counting(machine):
        def check_invariants(self, *arguments, **options):
            counts["steps"] += 1
            return super().check_invariants(*arguments, **options)

        def teardown(self):
            world = getattr(self, "world", None)
            super().teardown()
            if world is not None:
                counts["examples"] += 1
                counts["served"] += len(world.runs)
                counts["refused"] += sum(world.refused.values())

    return Counting


def fuzz_ledger(examples):
    """Run the ledger's machine at random."""
    counts = {"steps": 0, "examples": 0, "served": 0, "refused": 0}
    machine = count_steps(test_ledger.LedgerMachine, counts)
    try:
        with mock.patch.object(keeper, "TICK", 0.05):
            test_ledger.run_machine(machine, examples, True)
    finally:
        print("ledger:", counts)


def fuzz_prepaid(examples):
    """Run the machine of prepaid budgets at random."""
    counts = {"steps": 0}

    class Counting(test_prepaid.PrepaidMachine):
        def check_invariants(self, *arguments, **options):
            counts["steps"] += 1
            return super().check_invariants(*arguments, **options)

    try:
        test_prepaid.run_machine(Counting, examples, True)
    finally:
        print("prepaid:", counts)


def main():
    """Fuzz and report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=1000)
    options = parser.parse_args()
    fuzz_ledger(options.examples)
    fuzz_prepaid(options.examples)
    return 0


if __name__ == "__main__":
    sys.exit(main())
