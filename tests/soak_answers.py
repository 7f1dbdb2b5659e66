"""Checks the answers of the soak test."""

NOT_RUN_CODES = frozenset(
    {"BUSY", "ABORTED", "BEHIND", "READONLY", "MISDIRECT", "TOOMANY"}
)


class AnswerChecker:
    """Checks the answers that callers received against the servers' log and runs."""

    def __init__(self, group):
        self.group = group
        self.answers = {}
        self.violations = []
        self.acknowledged_ticks = []
        self.served_reads = 0
        self.last_served_at = 0.0

    def check_writes(self):
        counts = {}
        for commit in self.group.all_commits:
            for item, _ in commit.items:
                counts[item] = counts.get(item, 0) + 1
        for item, answer in self.answers.items():
            found = counts.get(item, 0)
            if found > 1:
                self.violations.append(f"{item} was committed {found} times")
            if answer == "DONE" and found == 0:
                self.violations.append(f"{item} was acknowledged and never committed")
            if answer in NOT_RUN_CODES and found:
                self.violations.append(f"{item} was refused as {answer} and committed")

    def check_runs(self):
        for run in self.group.runs:
            if run.customer != "alpha":
                self.violations.append(f"{run.request_id} ran for {run.customer}")
            caller = run.request_id.split("-")[0]
            values = dict(run.values).get("who", "")
            if values not in ("", caller):
                self.violations.append(f"{run.request_id} ran with values of {values}")
            if run.shape is not None and run.shape.text != f"shape-{caller}":
                self.violations.append(f"{run.request_id} ran {run.shape.text}")

    def is_stale(self, shown, before):
        """Return whether a read misses a clock write acknowledged before a given time.

        Concurrent writes of two callers are ordered by their positions in the log.
        """
        indexes = {}
        for index, commit in enumerate(self.group.log):
            indexes |= {value: index for key, value in commit.items if key == "clock"}
        acknowledged = [
            v for at, v in self.acknowledged_ticks if at <= before and v in indexes
        ]
        newest = max((indexes[v] for v in acknowledged), default=-1)
        return indexes.get(shown, -1) < newest
