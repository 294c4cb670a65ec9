"""How state machines are run: the same way every time, or at random."""

from unittest import mock

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.internal.conjecture.providers import HypothesisProvider
from hypothesis.stateful import run_state_machine_as_test


def _draw_no_constant(*_args, **_options):
    """Draw nothing that depends on which modules are loaded.

    Hypothesis mixes the constants of all local modules into what it draws,
    also into the choice from a fixed list.  So a new number anywhere gave each
    machine other runs: two broken variants were found by their tests alone,
    and not beside all others.
    """
    return None


def run_machine(machine, examples, steps, randomise=False):
    """Run a state machine; raise what it finds.

    :param randomise: whether each run is another one
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
