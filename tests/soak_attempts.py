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
        executed: The ids of the requests that run the prepared statement.
        commit_id: The id of the request that asked for the commit, empty for none.
        promise: The answer that promised that nothing is kept, empty for none.
        acknowledged: The items whose write or commit was acknowledged.
        wrong_answers: The answers that broke a rule, as ``RULE: text``.
    """

    customer: str
    group: str
    in_transaction: bool
    values: dict = field(default_factory=dict)
    shape: str = ""
    sent: dict = field(default_factory=dict)
    executed: set = field(default_factory=set)
    commit_id: str = ""
    promise: str = ""
    acknowledged: tuple = ()
    wrong_answers: list = field(default_factory=list)

    def record_answer(self, answer, request_id=""):
        """Record the line of a reply that tells the outcome."""
        word, code, *_ = f"{answer} ".split(" ")
        if word == "ERR" and code in NOT_RUN_CODES:
            self.promise = code
        if word == "ERR" and code == "NOSTMT" and request_id in self.executed:
            self.wrong_answers.append(f"PINNED: {request_id}: its name is unknown")
        is_signed = request_id in self.sent or request_id == self.commit_id
        if word == "DONE" and request_id and is_signed and code != f"sig.{request_id}":
            self.wrong_answers.append(f"MIXED: {request_id} was told {answer!r}")


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
            *self._check_commit_requests(),
            *self._check_commits(),
            *(text for a in self.attempts.values() for text in a.wrong_answers),
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
            shape = attempt.shape if run.request_id in attempt.executed else None
            ran = run.shape.text if run.shape is not None else None
            if ran != shape:
                yield f"PINNED: {where}: ran the shape {ran} in place of {shape}"

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

    def _check_commit_requests(self):
        """Check also the transactions that wrote nothing."""
        names = {}
        for _, run in self._all_runs():
            if run.in_transaction:
                name = attempt_of(run.request_id)
                names.setdefault(run.transaction, set()).add(name)
        for group in self.groups:
            for req in group.commit_requests:
                where = f"{req.request_id} at {req.server}"
                attempt = self.attempts.get(attempt_of(req.request_id))
                if attempt is None or req.request_id != attempt.commit_id:
                    yield f"UNASKED: {where}: nobody asked for this commit"
                elif group.name != attempt.group:
                    yield f"ROUTE: {where}: belongs to {attempt.group}"
                if not req.transaction:
                    yield f"PINNED: {where}: committed outside a transaction"
                others = names.get(req.transaction, set()) - {
                    attempt_of(req.request_id)
                }
                if others:
                    yield f"UNASKED: {where}: ended the one of {sorted(others)}"

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
        attempt = self.attempts.get(attempt_of(item))
        if attempt is None:
            yield f"UNASKED: {item} was committed, nobody sent it"
            return
        if attempt.promise:
            yield f"REFUSED: {item}, told {attempt.promise}, is committed"
        is_own = attempt_of(commit.request_id) == attempt_of(item)
        if attempt.in_transaction and commit.request_id != attempt.commit_id:
            yield f"UNASKED: {item} was committed by {commit.request_id}"
        elif not is_own:
            yield f"UNASKED: {item} was written by {commit.request_id}"
