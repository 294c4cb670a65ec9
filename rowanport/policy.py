"""Policies: programs in CEL that decide on each request.

A policy is one expression that yields a map with ``run`` (bool), and when
it runs ``priority`` (0 first) and ``group``, else ``reason``.  It sees
``request``, a map of the facts in :data:`FACTS`.
"""

import json

import cel

from .errors import ErrorKind
from .errors import RequestError
from .errors import UserError

SOURCE_LIMIT = 16384
CASES_LIMIT = 200
LOWEST_PRIORITY = 9
DEFAULT_SOURCE = (
    '{"run": true, "priority": request.repeatable ? 5 : 1,'
    ' "group": request.group}'
)

# What a policy may read of a request, with an example of each.
FACTS = {
    "organisation": "observatory",
    "budget": "observatory/main",
    "group": "summary-large",
    "kind": "bulletin",
    "repeatable": True,
    "stream": False,
    "tokens": 1000,
    "max_tokens": 200,
    "body_bytes": 3200,
    "seconds_left": 30.0,
    "weight": 1,
}


class Decision:
    """What a policy decided.

    :ivar priority: 0 is served first, 9 last
    :ivar group: upstream group
    """

    __slots__ = ("run", "priority", "group", "reason")

    def __init__(self, run, priority, group, reason):
        self.run = run
        self.priority = priority
        self.group = group
        self.reason = reason

    def as_dict(self):
        """Return the decision as a policy writes it."""
        if not self.run:
            return {"run": False, "reason": self.reason}
        return {"run": True, "priority": self.priority, "group": self.group}


class Policy:
    """A compiled policy.

    :param source: the CEL expression
    :raises UserError: it is too long or does not compile
    """

    def __init__(self, source):
        if len(source) > SOURCE_LIMIT:
            raise UserError(f"the policy is over {SOURCE_LIMIT} characters")
        try:
            self._program = cel.compile(source)
        except Exception as error:
            raise UserError(f"the policy does not compile: {error}") from None
        self.source = source

    def decide(self, facts):
        """Return the Decision on a request.

        :param facts: a map with the keys of FACTS
        :raises RequestError: the policy failed or gave no decision
        """
        try:
            result = self._program.execute({"request": facts})
        except Exception as error:
            raise RequestError(
                ErrorKind.POLICY_FAILED, f"the policy failed: {error}"
            ) from None
        return _read_decision(result, facts)


def _read_decision(result, facts):
    if not isinstance(result, dict) or not isinstance(result.get("run"), bool):
        raise RequestError(
            ErrorKind.POLICY_FAILED, "the policy gave no decision"
        )
    if not result["run"]:
        reason = str(result.get("reason", "refused by policy"))
        return Decision(False, LOWEST_PRIORITY, "", reason)
    priority = result.get("priority", 5)
    group = result.get("group", facts["group"])
    if not isinstance(priority, int) or not isinstance(group, str):
        raise RequestError(
            ErrorKind.POLICY_FAILED, "the policy's priority or group is unfit"
        )
    priority = min(max(priority, 0), LOWEST_PRIORITY)
    return Decision(True, priority, group, "")


class CaseFailure:
    """A test case of a policy that did not give what was expected."""

    __slots__ = ("name", "expected", "got")

    def __init__(self, name, expected, got):
        self.name = name
        self.expected = expected
        self.got = got


def run_cases(policy, cases):
    """Return the CaseFailures of a policy on its PolicyCase records.

    :raises UserError: a case is malformed
    """
    if len(cases) > CASES_LIMIT:
        raise UserError(f"more than {CASES_LIMIT} cases")
    failures = []
    for case in cases:
        try:
            facts = {**FACTS, **json.loads(case.request)}
            expected = json.loads(case.expected)
        except ValueError:
            raise UserError(f"case {case.name!r} is not JSON") from None
        try:
            got = policy.decide(facts).as_dict()
        except RequestError as error:
            got = {"error": error.detail}
        if any(got.get(key) != value for key, value in expected.items()):
            failures.append(CaseFailure(case.name, expected, got))
    return failures
