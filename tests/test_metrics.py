import re

from prometheus_client import CollectorRegistry
from tornado.httpclient import AsyncHTTPClient

from mangoramp.errors import Code, Fault, Step
from mangoramp.metrics import MAX_CUSTOMER_LABELS, OTHER_CUSTOMERS, make_metrics
from mangoramp.standins.fleet import Fleet, FleetOptions

from .caller import Caller

SAMPLE_LINE = re.compile(r"^(\w+)(\{.*?\})? (\S+)$", re.MULTILINE)


async def scrape(proxy):
    url = f"{proxy.cfg.admin_address}/metrics"
    text = (await AsyncHTTPClient().fetch(url)).body.decode()
    return {
        name + labels: float(value) for name, labels, value in SAMPLE_LINE.findall(text)
    }


class TestMetrics:
    async def test_counts_what_callers_saw(self):
        fleet = Fleet(FleetOptions(domains=("d1",)))
        await fleet.start()
        try:
            samples = await self._send_requests(fleet)
        finally:
            await fleet.stop()
        requests = "mangoramp_requests_total"
        failed = '{code="statement_failed",group="register",outcome="not_run"}'
        assert samples[requests + '{code="",group="register",outcome="done"}'] == 5
        assert samples[requests + failed] == 1
        unknown = '{code="group_unknown",group="",outcome="not_run"}'
        assert samples[requests + unknown] == 1
        reads = [v for k, v in samples.items() if k.startswith("mangoramp_reads_total")]
        assert sum(reads) == 3
        assert samples['mangoramp_request_seconds_count{group="register"}'] == 4
        assert samples['mangoramp_wait_seconds_count{group="register"}'] == 6
        tala = 'mangoramp_customer_requests_total{customer="tala",outcome="done"}'
        assert samples[tala] == 5
        assert samples["mangoramp_table_version"] > 0
        assert samples["mangoramp_ready"] == 1
        assert samples['mangoramp_group_term{group="register"}'] == 1
        assert samples['mangoramp_server_live{group="register",server="d1-s"}'] == 1
        assert fleet.keys["tala"] not in repr(samples)

    async def test_open_routes_need_no_key_and_callers_routes_do(self):
        fleet = Fleet(FleetOptions(domains=("d1",)))
        await fleet.start()
        proxy = fleet.proxies["d1-p0"]
        try:
            for path in ("health", "ready", "metrics", "v1/status"):
                url = f"{proxy.cfg.admin_address}/{path}"
                assert (await AsyncHTTPClient().fetch(url)).code == 200
            refused = await Caller("").post(fleet.url("d1-p0"), "SELECT 1")
        finally:
            await fleet.stop()
        assert (refused.status, refused.body["code"]) == (401, "key_missing")

    async def _send_requests(self, fleet):
        caller, url = Caller(fleet.keys["tala"]), fleet.url("d1-p0")
        await caller.post(url, "CREATE TABLE sheet (id TEXT)")
        for _ in range(3):
            await caller.post(url, "SELECT id FROM sheet")
        await caller.post(url, "SELECT id FROM nowhere")
        await caller.post(url.replace("register", "none"), "SELECT 1")
        begun = await caller.post(url.replace("statements", "transactions"), "")
        assert begun.status == 201
        return await scrape(fleet.proxies["d1-p0"])

    def test_has_a_bounded_number_of_customers(self):
        registry = CollectorRegistry()
        metrics = make_metrics(registry)
        fault = Fault(Code.OVER_RATE, "", Step.ADMIT)
        for number in range(MAX_CUSTOMER_LABELS + 10):
            metrics.record_fault("g", f"c{number}", fault)
        labels = {"customer": OTHER_CUSTOMERS, "outcome": "not_run"}
        name = "mangoramp_customer_requests_total"
        assert registry.get_sample_value(name, labels) == 10
