"""Plays days of a site with several checkouts of the code."""

import concurrent.futures
import json
import pathlib
import subprocess

# Shares of all requests that are compared beside worth and prices.
SHARES = ("late", "refused", "failed")


class Variant:
    """One state of the code.

    :ivar name: how tables call it
    :ivar checkout: path of its checkout
    """

    __slots__ = ("name", "checkout")

    def __init__(self, name, checkout):
        self.name = name
        self.checkout = pathlib.Path(checkout)


class Play:
    """One day of one site, played with one seed by one variant.

    :ivar site: path of the site's file
    :ivar day: name of a day of the site, or path of a day's file
    """

    __slots__ = ("variant", "site", "day", "seed")

    def __init__(self, variant, site, day, seed):
        self.variant = variant
        self.site = pathlib.Path(site)
        self.day = day
        self.seed = seed

    @property
    def pair(self):
        """Return what plays of other variants are compared by."""
        return self.site.stem, pathlib.Path(self.day).stem, self.seed

    @property
    def report_name(self):
        """Return the name of the file with its figures."""
        parts = (self.variant.name, *map(str, self.pair))
        return "+".join(parts) + ".json"


class Figures:
    """What a play measured.

    :ivar worth: worth after prices
    :ivar values: every figure that is compared, by name
    :ivar broken: occasions on which a rule was broken, by rule
    """

    __slots__ = ("worth", "values", "broken")

    def __init__(self, report):
        self.worth = report["G"]
        self.broken = report["breaks"]
        self.values = {"worth": report["G"]}
        for name, _weight, value in report["parts"]:
            self.values[name] = value
        total = report["all"]
        for name in SHARES:
            self.values[f"{name} share"] = total[name] / max(1, total["n"])
        for name, _amount, value in report["prices"]:
            self.values[f"price: {name}"] = value


class Player:
    """Runs plays side by side and keeps their reports.

    :param bench: path of the users' bench
    :param out: directory of the reports; a play that has one there is not
        played again
    :param why: the reason that the bench notes for each play
    :param jobs: plays at once
    :param options: further words for the bench
    """

    def __init__(self, bench, out, why, jobs, options=()):
        self._bench = bench
        self._out = pathlib.Path(out)
        self._why = why
        self._jobs = jobs
        self._options = tuple(options)

    def run(self, plays, progress):
        """Return the Figures by Play; plays that failed are left out.

        :param progress: function called with each Play that ended, its
            Figures or None, and how many are still to come
        """
        self._out.mkdir(parents=True, exist_ok=True)
        for checkout in {play.variant.checkout for play in plays}:
            self._call(checkout, "build")
        figures = {}
        with concurrent.futures.ThreadPoolExecutor(self._jobs) as pool:
            running = {pool.submit(self._play, play): play for play in plays}
            left = len(plays)
            for done in concurrent.futures.as_completed(running):
                play, found = running[done], done.result()
                left -= 1
                progress(play, found, left)
                if found is not None:
                    figures[play] = found
        return figures

    def _play(self, play):
        report = self._out / play.report_name
        if not report.exists():
            words = (str(play.site.resolve()), str(play.day))
            words += ("--seed", str(play.seed), "--report", report.resolve())
            words += ("--why", f"{play.variant.name}: {self._why}")
            self._call(play.variant.checkout, "run", *words, *self._options)
        if not report.exists():
            return None
        return Figures(json.loads(report.read_text()))

    def _call(self, checkout, *words):
        command = [self._bench, *map(str, words)]
        with open(self._out / "bench.log", "a") as log:
            subprocess.run(command, cwd=checkout, stdout=log, stderr=log)
