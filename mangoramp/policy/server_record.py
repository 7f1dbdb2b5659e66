"""What a server's answers to reads have shown lately."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

MAX_ANSWERS = 64  # enough to tell 20% of failures from none
MAX_ANSWER_AGE_S = 30.0  # an instance of a large fleet sends few reads to a server
PRIOR_ANSWERS = 8  # assumed of the other servers, so that few answers prove little
PRIOR_FAILURE_RATE = 0.01
MAX_LATENCIES = 8  # placement avoids a slow server after a few slow answers
MAX_LATENCY_AGE_S = 5.0  # what is older may be from a time of less load
PEAK_DECAY_S = 1.0  # the peak ends a verdict of slowness once answers are fast again
MAX_SPELL_AGE_S = 10.0
SPELL_GAP_S = 0.3  # statements lost together belong to the same spell


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a read, or a failure.

    Attributes:
        at: When it came, in seconds.
        is_failure: Whether the read failed or got no answer.
        latency_s: The latency in seconds, 0 for a failure.
        objective_s: The latency objective of the read, infinite for a failure.
    """

    at: float
    is_failure: bool
    latency_s: float
    objective_s: float


@dataclass(slots=True, eq=False)
class ServerRecord:
    """What one server's answers have shown.

    Attributes:
        answers: Its latest answers and failures since the last step up.
        spells: When it became unreachable, in seconds.
        unreachable_at: When it was last unreachable, in seconds.
        peak_s: Decaying peak of the latency in seconds.
        peak_at: When the peak was updated, in seconds.
        level: The index of its weight.
        stepped_at: When the level changed, in seconds.
        good_answers: Consecutive good answers.
        bad_at: When it last failed or answered slowly, in seconds.
        credit: Part of the next read that the server may get.
        probed_at: When a read was last sent to it, in seconds.
        reads_since: Reads of the group since then.
        slow_s: Latency above which an answer is slow, as of the last comparison.
    """

    answers: deque[Answer] = field(default_factory=lambda: deque(maxlen=MAX_ANSWERS))
    spells: deque[float] = field(default_factory=lambda: deque(maxlen=8))
    unreachable_at: float = -math.inf
    peak_s: float = 0.0
    peak_at: float = -math.inf
    level: int = 0
    stepped_at: float = -math.inf
    good_answers: int = 0
    bad_at: float = -math.inf
    credit: float = 0.0
    probed_at: float = -math.inf
    reads_since: int = 0
    slow_s: float = math.inf

    def prune(self, now: float) -> None:
        """Drop what is too old to count."""
        while self.answers and now - self.answers[0].at > MAX_ANSWER_AGE_S:
            self.answers.popleft()
        while self.spells and now - self.spells[0] > MAX_SPELL_AGE_S:
            self.spells.popleft()

    def peak(self, now: float) -> float:
        """Return the decayed peak of the latency, in seconds."""
        return self.peak_s * math.exp(-max(0.0, now - self.peak_at) / PEAK_DECAY_S)

    def record_latency(self, now: float, latency_s: float) -> None:
        """Raise the peak to the latency of an answer, in seconds."""
        self.peak_s = max(latency_s, self.peak(now))
        self.peak_at = now

    def record_bad(self, now: float) -> None:
        """Record a failure or a slow answer."""
        self.good_answers = 0
        self.bad_at = now

    def record_unreachable(self, now: float) -> None:
        """Record that the server was not reached, or gave no answer."""
        if now - self.unreachable_at > SPELL_GAP_S:
            self.spells.append(now)
        self.unreachable_at = now

    @property
    def failures(self) -> int:
        """The number of recent failures."""
        return sum(answer.is_failure for answer in self.answers)

    @property
    def failure_rate(self) -> float:
        """The share of failures, near that of a usual server if few answers came."""
        prior = PRIOR_FAILURE_RATE * PRIOR_ANSWERS
        return (self.failures + prior) / (len(self.answers) + PRIOR_ANSWERS)

    def latest(self, now: float) -> list[Answer]:
        """Return the latest good answers, by which its speed is judged."""
        oldest = now - MAX_LATENCY_AGE_S
        found = [a for a in self.answers if not a.is_failure and a.at >= oldest]
        return found[-MAX_LATENCIES:]

    def mean_s(self, now: float) -> float:
        """Return the mean latency of the latest good answers, 0 without any."""
        latest = self.latest(now)
        return sum(a.latency_s for a in latest) / len(latest) if latest else 0.0

    @property
    def objective_s(self) -> float:
        """The shortest latency objective of the recent reads, in seconds."""
        return min((a.objective_s for a in self.answers), default=math.inf)
