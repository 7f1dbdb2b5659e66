import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from mangoramp.policy.sheet import Sheet, format_sheet, parse_sheet
from mangoramp.policy.table import NUMBERS, Row, differences, split

HEAD = "customer,group,weight,rate,burst,read_age_s"
GOOD = "tala,register,1,300,300,1"
# The printable characters: no category of controls or separators, but the space.
PRINTABLE = st.characters(
    exclude_categories=("Cc", "Cf", "Cs", "Co", "Cn", "Zl", "Zp", "Zs"),
    include_characters=" ",
)
NAMES = st.text(PRINTABLE, max_size=20).map(str.strip).filter(bool)
ROWS = st.lists(
    st.builds(Row, NAMES, NAMES, *(st.floats(c.low, c.high) for c in NUMBERS)),
    unique_by=lambda row: row.name,
    max_size=20,
)
PROPERTY = settings(derandomize=True, deadline=None, max_examples=80)


def mistakes(*lines):
    return [str(m) for m in parse_sheet("\n".join(lines), {"register"}).failure()]


class TestSheet:
    @PROPERTY
    @given(ROWS, st.integers(0, 10**18 - 1))
    def test_parses_what_it_formatted(self, rows, version):
        found = parse_sheet(format_sheet(Sheet(version, tuple(rows)))).unwrap()
        assert found.version == version
        assert not differences(found.rows, rows)

    @PROPERTY
    @given(
        st.text(
            alphabet="#,;\t\"'\r\n version0123customer\0\ufeffnaninf-", max_size=200
        )
    )
    def test_returns_rows_or_mistakes_for_any_text(self, text):
        found = parse_sheet(text)
        assert isinstance(found, Success) or found.failure()

    @pytest.mark.parametrize(
        "text",
        [
            f"\ufeff# version 7\n{HEAD}\n{GOOD}\n",
            f"# version 7\r\n{HEAD}\r\n{GOOD}\r\n\r\n",
            f"# version 7;;;;;\n{HEAD};\n{GOOD};\n;;;;;;\n".replace(",", ";"),
            f'"# version 7",,,,,\n{HEAD},,\n tala , register ,1, 300,300,1 ,,\n',
            f"# version 7\n{HEAD}\n{GOOD}".replace(",", "\t"),
        ],
    )
    def test_takes_files_as_spreadsheets_write_them(self, text):
        row = Row("tala", "register", 1, 300, 300, 1)
        assert parse_sheet(text, {"register"}).unwrap() == Sheet(7, (row,))

    @pytest.mark.parametrize(
        ("cells", "message"),
        [
            (",register,1,1,1,1", "line 2, customer: found nothing"),
            ("a,orders,1,1,1,1", "line 2, group: found 'orders', allowed: one of reg"),
            ("a,register,nan,1,1,1", "line 2, weight: found 'nan', allowed: a number"),
            ("a,register,1,inf,1,1", "line 2, rate: found 'inf'"),
            ("a,register,1,1e999,1,1", "line 2, rate: found '1e999'"),
            ("a,register,1,1,-1,1", "line 2, burst: found '-1'"),
            ("a,register,1,1_0,1,1", "line 2, rate: found '1_0'"),
            ("a,register,1,1,1,soon", "line 2, read_age_s: found 'soon'"),
            ("a,register,1,1,1,1,1", "line 2: found '7 cells', allowed: 6 cells"),
            ('a,"register,1,1,1,1', "found 'unexpected end of data'"),
        ],
    )
    def test_reports_row_and_column_of_a_mistake(self, cells, message):
        assert message in mistakes(HEAD, cells)[0]

    def test_reports_all_mistakes_at_once(self):
        head = "customer,group,weight,rate,read_age_s,colour"
        found = mistakes(head, "a,register,x,1,1,red", ",register,1,y,1,red")
        assert [m.split(":")[0] for m in found] == [
            "line 1", "line 1, burst", "line 2, weight", "line 3, customer",
            "line 3, rate",
        ]  # fmt: skip

    def test_reports_both_lines_of_a_duplicate_row(self):
        assert "allowed: one, as in line 2" in mistakes(HEAD, GOOD, GOOD)[0]


class TestSplit:
    @PROPERTY
    @given(ROWS)
    def test_holds_each_row_once_and_a_customer_in_one_shard(self, rows):
        shards = split(rows)
        held = [row for shard in shards.values() for row in shard]
        assert not differences(held, rows)
        assert len(held) == len(rows)
        names = [{row.customer for row in shard} for shard in shards.values()]
        assert sum(map(len, names)) == len({row.customer for row in rows})
