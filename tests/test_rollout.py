import msgspec
import pytest

from mangoramp.control.news import AskNews, News
from mangoramp.serving.batches import BatchNotSent, BatchRun, RunBatch

FORMER_FIELDS = {
    AskNews: ("revision", "registry_revision", "version", "era", "id"),
    News: (
        "revision",
        "registry_revision",
        "deployment",
        "endpoints",
        "server_ids",
        "is_registered",
        "era",
        "departed",
        "id",
    ),
    RunBatch: (
        "server",
        "group",
        "customer",
        "values",
        "shapes",
        "commands",
        "timeout_s",
        "wait_s",
        "due_s",
        "priority",
        "handle",
        "ticket",
        "id",
    ),
    BatchRun: ("answers", "handle", "samples", "id"),
    BatchNotSent: ("reason", "is_reachable", "wait_s", "id"),
}


class TestFormerBuild:
    @pytest.mark.parametrize("message", FORMER_FIELDS, ids=lambda m: m.__name__)
    def test_the_fields_that_it_knows_keep_their_places(self, message):
        """A field in front of the id would make messages unreadable in a rollout."""
        names = tuple(field.name for field in msgspec.structs.fields(message))
        assert names[: len(FORMER_FIELDS[message])] == FORMER_FIELDS[message]
