"""Where the tokens of a play's budgets are, as the routers' logs tell.

Reads the output of a play with the logs of all routers.  For each budget it
prints the tokens paid for and drawn, those that requests used by their own
lines, and what runs that ended left behind: given back by the next run, let go
within the limits of the last record, set aside for requests under way, and
stranded for want of a proof.  What was drawn and is none of these is lost or
was used by requests without a line.

Usage: ``python -m bench.tokens LOG``
"""

import collections
import json
import re
import sys

# The time of a line, the instance, and what it logged.
LINE = re.compile(r"^\s*(-?[\d.]+) (\S+) (\{.*\})$")
COLUMNS = (
    "paid",
    "drawn",
    "used",
    "given_back",
    "let_go",
    "under_way",
    "stranded",
    "held",
    "nowhere",
)


def read_lines(path):
    """Yield (time, instance, fields) for each log line of a play."""
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            match = LINE.match(line)
            if not match:
                continue
            time, instance, text = match.groups()
            try:
                fields = json.loads(text)
            except json.JSONDecodeError:
                print(f"torn line at {time} of {instance}", file=sys.stderr)
                continue
            yield float(time), instance, fields


class TokenAccounts:
    """The sums over a play, by budget and column."""

    def __init__(self):
        self._sums = collections.defaultdict(collections.Counter)
        self._held = {}
        self._seen_runs = set()

    def read(self, instance, fields):
        """Take in one log line."""
        event = fields["event"]
        if event == "budget_total":
            self._sums[fields["budget"]]["paid"] = fields["total"]
        elif event == "budget_batch":
            for name, moved in fields["moves"].items():
                self._sums[name]["drawn"] += moved
        elif event == "request" and fields.get("used"):
            self._sums[fields["organisation"]]["used"] += fields["used"]
        elif event == "budgets_held":
            self._held[instance] = fields["held"]
        elif event in ("tokens_recovered", "tokens_stranded"):
            self._read_ended_run(fields)

    def _read_ended_run(self, fields):
        # A recovery whose write failed is logged again; a hand-over without
        # an heir names no run.
        if fields.get("run") in self._seen_runs or "accounts" not in fields:
            return
        self._seen_runs.add(fields["run"])
        stranded = fields["event"] == "tokens_stranded"
        for name, account in fields["accounts"].items():
            sums = self._sums[name]
            sums["under_way"] += account["under_way"]
            sums["given_back"] += account["unspent"]
            sums["stranded" if stranded else "let_go"] += account["let_go"]

    def rows(self):
        """Yield (budget, Counter) for each budget, largest first."""
        for name, sums in self._sums.items():
            sums["held"] = sum(
                held[name][0] for held in self._held.values() if name in held
            )
            about = sums["used"] + sums["given_back"] + sums["held"]
            sums["nowhere"] = sums["drawn"] - about
        yield from sorted(
            self._sums.items(), key=lambda item: -item[1]["paid"]
        )


def main():
    """Print the accounts of the play named on the command line."""
    accounts = TokenAccounts()
    for _, instance, fields in read_lines(sys.argv[1]):
        accounts.read(instance, fields)
    print(f"{'budget':12}" + "".join(f"{name:>12}" for name in COLUMNS))
    total = collections.Counter()
    for name, sums in accounts.rows():
        total.update(sums)
        print(f"{name:12}" + "".join(f"{sums[c]:12,}" for c in COLUMNS))
    print(f"{'all':12}" + "".join(f"{total[c]:12,}" for c in COLUMNS))
    paid = total["paid"] or 1
    parts = "".join(f"{total[c] / paid:12.3f}" for c in COLUMNS)
    print(f"{'part':12}{parts}")


if __name__ == "__main__":
    main()
