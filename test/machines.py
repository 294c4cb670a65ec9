"""How state machines are run: the same way every time, or at random."""

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test


def run_machine(machine, examples, steps, randomise=False):
    """Run a state machine; raise what it finds.

    :param randomise: whether each run is another one
    """
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=not randomise,
            database=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
