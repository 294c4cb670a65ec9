"""Runs Hypothesis state machines, reproducibly or at random."""

from unittest import mock

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.internal.conjecture.providers import HypothesisProvider
from hypothesis.stateful import run_state_machine_as_test


def _draw_no_constant(*_args, **_options):
    """Draw no constants, so that examples don't depend on loaded modules.

    Hypothesis mixes constants of all local modules into what it draws, even
    into the choice from a fixed list.  A new number anywhere changed the
    examples of every machine: two broken variants were found when their tests
    ran alone, but not together with all other tests.
    """
    return None


def run_machine(machine, examples, steps, randomise=False):
    """Run a state machine; raise the failure that it finds.

    :param machine: the state machine class
    :param examples: number of examples
    :param steps: number of steps in each example
    :param randomise: whether to draw different examples in each run
    """
    options = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        derandomize=not randomise,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    with mock.patch.object(
        HypothesisProvider, "_maybe_draw_constant", _draw_no_constant
    ):
        run_state_machine_as_test(machine, settings=options)
