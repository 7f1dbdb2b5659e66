"""Compares what servers ran with what callers sent and were told."""

from dataclasses import dataclass, field

from .soak_answers import NOT_RUN_CODES


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller at an operation.

    Attributes:
        customer: The caller's customer.
        group: The database group that its route leads to.
        in_transaction: Whether its statements belong to a transaction.
        values: The session variables that were acknowledged to the caller.
        shape: The text of the shape that the caller prepared.
        sent: The item and data of each statement that was sent, by request id.
        commit_id: The id of the request that asked for the commit, empty for none.
        promise: The answer that promised that nothing is kept, empty for none.
        acknowledged: The items whose write or commit was acknowledged.
    """

    customer: str
    group: str
    in_transaction: bool
    values: dict = field(default_factory=dict)
    shape: str = ""
    sent: dict = field(default_factory=dict)
    commit_id: str = ""
    promise: str = ""
    acknowledged: tuple = ()

    def record_answer(self, answer):
        """Record the first line of a reply."""
        word, code, *_ = f"{answer} ".split(" ")
        if word == "ERR" and code in NOT_RUN_CODES:
            self.promise = code


def attempt_of(request_id):
    """Return the name of the attempt that a request belongs to."""
    return request_id.rpartition(".")[0]


class AttemptChecker:
    """Checks the runs and commits of several groups against the attempts of callers.

    Args:
        groups: The groups of servers.

    Attributes:
        attempts: The attempts by name; a request's id is the name, a dot and a number.
    """

    def __init__(self, groups):
        self.groups = groups
        self.attempts = {}

    def find_violations(self):
        """Return each broken rule with what was seen, as ``RULE: text``."""
        return [
            *self._check_runs(),
            *self._check_transactions(),
            *self._check_commits(),
        ]

    def _all_runs(self):
        return [(group, run) for group in self.groups for run in group.runs]

    def _check_runs(self):
        for group, run in self._all_runs():
            where = f"{run.request_id} at {run.server}"
            attempt = self.attempts.get(attempt_of(run.request_id))
            if attempt is None or run.request_id not in attempt.sent:
                yield f"UNASKED: {where}: nobody sent it"
                continue
            if run.text != attempt.sent[run.request_id]:
                yield f"UNASKED: {where}: ran {run.text!r}"
            if run.customer != attempt.customer:
                yield f"UNASKED: {where}: {attempt.customer}'s ran for {run.customer}"
            if group.name != attempt.group:
                yield f"ROUTE: {where}: belongs to {attempt.group}"
            if run.in_transaction != attempt.in_transaction:
                yield f"PINNED: {where}: in transaction {run.transaction}"
            if dict(run.values) != attempt.values:
                yield f"PINNED: {where}: ran with the values {dict(run.values)}"
            if run.shape is not None and run.shape.text != attempt.shape:
                yield f"PINNED: {where}: ran the shape {run.shape.text}"

    def _check_transactions(self):
        attempts, transactions = {}, {}
        for _, run in self._all_runs():
            if run.in_transaction:
                name = attempt_of(run.request_id)
                attempts.setdefault(run.transaction, set()).add(name)
                transactions.setdefault(name, set()).add(run.transaction)
        for number, names in attempts.items():
            if len(names) > 1:
                yield f"PINNED: transaction {number} has statements of {sorted(names)}"
        for name, numbers in transactions.items():
            if len(numbers) > 1:
                yield f"PINNED: {name} ran in the transactions {sorted(numbers)}"

    def _check_commits(self):
        counts = {}
        for group in self.groups:
            for commit in group.all_commits:
                for item, _ in commit.items:
                    counts[item] = counts.get(item, 0) + 1
                    yield from self._check_commit(item, commit)
        for item, count in counts.items():
            if count > 1:
                yield f"TWICE: {item} was committed {count} times"
        for name, attempt in self.attempts.items():
            for item in attempt.acknowledged:
                if item not in counts:
                    yield f"LOST: {item} of {name} was acknowledged, never committed"

    def _check_commit(self, item, commit):
        attempt = self.attempts[attempt_of(item)]
        if attempt.promise:
            yield f"REFUSED: {item}, told {attempt.promise}, is committed"
        is_own = attempt_of(commit.request_id) == attempt_of(item)
        if attempt.in_transaction and commit.request_id != attempt.commit_id:
            yield f"UNASKED: {item} was committed by {commit.request_id}"
        elif not is_own:
            yield f"UNASKED: {item} was written by {commit.request_id}"
