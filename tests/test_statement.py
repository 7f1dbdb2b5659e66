import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from mangoramp.policy.statement import Kind, classify

PROPERTY = settings(derandomize=True, deadline=None, max_examples=150)
CONTROL = (
    *("BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE"),
    *("SET", "RESET", "DISCARD", "PREPARE", "EXECUTE", "DEALLOCATE", "LISTEN", "LOAD"),
    *("NOTIFY", "LOCK", "DECLARE", "FETCH", "CLOSE", "COPY", "DO", "CALL", "EXPLAIN"),
    *("SHOW", "VACUUM", "GRANT", "REVOKE", "TRUNCATE", "CHECKPOINT", "SECURITY"),
)
BLANKS = st.lists(
    st.sampled_from([" ", "\n", "\t", "-- x\n", "/* a */", "/* /* */ SELECT */"]),
    min_size=1,
    max_size=4,
).map("".join)


def cased(word):
    return st.tuples(*(st.sampled_from([c.lower(), c]) for c in word)).map("".join)


class TestRefused:
    @PROPERTY
    @given(st.data(), st.sampled_from(CONTROL), st.sampled_from(["", "(", "((", ";"]))
    def test_never_accepts_a_control_word(self, data, word, before):
        sql = data.draw(BLANKS) + before + data.draw(BLANKS) + data.draw(cased(word))
        assert not isinstance(classify(sql + data.draw(BLANKS) + "x"), Success)

    @PROPERTY
    @given(
        st.data(),
        st.sampled_from(["PG_SLEEP", "MANGORAMP_FENCE", "STANDIN_LOG", "SET_CONFIG"]),
        st.sampled_from(["SELECT {}(1)", 'SELECT "{}"(1)', "DELETE FROM a.{}"]),
    )
    def test_never_accepts_a_reserved_name(self, data, name, form):
        sql = data.draw(BLANKS) + form.format(data.draw(cased(name)))
        assert not isinstance(classify(sql), Success)

    @pytest.mark.parametrize(
        "sql",
        [
            "SELECT 1; SELECT 2",
            "SELECT 1 /* ; */ ; DELETE FROM sheet",
            "SELECT 1 AS a$$, pg_sleep(1) AS b$$",
            r"SELECT E'\'' || pg_sleep(1) || ''",
            "SELECT E'a'\n'b\\'' || pg_sleep(1) || ''",
            r"""SELECT U&"\0070g_sleep"(1)""",
            "SELECT '\\' || pg_sleep(1) || ''",
            "/* /* */ SELECT 1 */ COMMIT",
            "SELECT 1 /* ' */, pg_sleep(1) /* ' */",
            "SELECT '",
            'SELECT "',
            "SELECT $a$ x",
            "SELECT /* x",
            "SELECT \0",
            "CREATE TEMP TABLE x (a int)",
            "CREATE LOCAL TEMPORARY TABLE x (a int)",
            "SELECT 1 INTO TEMP x",
            "CREATE FUNCTION f() RETURNS int AS 'SELECT 1' LANGUAGE sql",
            "ALTER SYSTEM SET work_mem = 1",
            "ALTER ROLE x SET a = 1",
            "SELECT query_to_xml('delete from x', true, true, '')",
            "",
            ";",
            "  -- nothing",
            "SELECT " + "1" * 100_000,
        ],
    )
    def test_refuses(self, sql):
        assert not isinstance(classify(sql), Success)

    @PROPERTY
    @given(st.text(alphabet="SELECT'\"$/*-;aeEU&\\\n() 1\x80\0", max_size=60))
    def test_handles_any_text(self, text):
        classify(text)


class TestKind:
    @PROPERTY
    @given(
        st.data(),
        st.sampled_from(
            [
                "WITH x AS (DELETE FROM sheet RETURNING id) SELECT * FROM x",
                "WITH x AS (UPDATE sheet SET id = 1 RETURNING id) SELECT * FROM x",
                "SELECT * INTO y FROM sheet",
                "SELECT 1INTO y",
                "SELECT id FROM sheet FOR UPDATE",
                "SELECT id FROM sheet FOR NO KEY UPDATE",
                "SELECT id FROM sheet FOR SHARE",
                "SELECT nextval('s')",
                "SELECT \"nextval\"('s')",
                "(SELECT 1 INTO y)",
                "/* /* */ SELECT 1 */ DROP TABLE x",
                "INSERT INTO sheet VALUES ($1)",
            ]
        ),
    )
    def test_never_classifies_a_write_as_a_read(self, data, sql):
        text = data.draw(BLANKS).join(sql.split(" "))
        cases = data.draw(st.sampled_from([str, str.lower, str.swapcase]))
        assert classify(cases(text)) == Success(Kind.WRITE)

    @pytest.mark.parametrize(
        "sql",
        [
            "SELECT 1;",
            "select 'insert into x; commit', \"update\" FROM sheet -- delete",
            "SELECT 'pg_12' /* pg_sleep(1); */",
            "VALUES ($1), ($2)",
            "(SELECT 1) UNION (SELECT 2)",
            "SELECT $a$ insert ; $a$",
            "WITH x AS (SELECT 1) SELECT * FROM x",
        ],
    )
    def test_reads(self, sql):
        assert classify(sql) == Success(Kind.READ)
