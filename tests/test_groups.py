from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import MIN_FAILED_STATEMENTS, Server

ENDPOINT = Endpoint("s1", "register", ("127.0.0.1", 1), "a", 2, False, True)


class TestStatementRecord:
    def failing_server(self, statements):
        server = Server(ENDPOINT)
        for number in range(statements):
            server.record_failure(1.0 + number / 10, "reset")
            server.record_statement(1.0 + number / 10, has_failed=True)
        return server

    def test_an_accepted_connection_is_no_recovery_of_one_that_fails_all(self):
        """Each probe made the failover start over."""
        server = self.failing_server(MIN_FAILED_STATEMENTS)
        server.record_accepted(2.0)
        assert server.failing_since == 1.0
        assert server.fails_statements

    def test_an_accepted_connection_ends_the_suspicion_after_a_few_resets(self):
        server = self.failing_server(MIN_FAILED_STATEMENTS - 1)
        server.record_accepted(2.0)
        assert server.failing_since is None

    def test_a_success_starts_the_count_anew(self):
        server = self.failing_server(MIN_FAILED_STATEMENTS)
        server.record_statement(3.0, has_failed=False)
        assert not server.fails_statements
        assert server.last_success_at == 3.0
