import json
import re
import shutil
import subprocess
import sys
import time
from pathlib import Path

import pytest

from mangoramp.standins._ports import free_ports

EXAMPLE = Path(__file__).parent.parent / "examples" / "local-fleet"
BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)
PORT = re.compile(r"\b7[5-9]\d\d\b")
STEP_S = 45.0


class Shell:
    """Runs the commands of the page, on free ports and in a folder of its own."""

    def __init__(self, folder):
        self.folder = folder
        self.ports = {}
        self.running = []
        target = folder / "examples" / "local-fleet"
        shutil.copytree(EXAMPLE, target)
        (folder / "bin").mkdir()
        script = f'#!/bin/sh\nexec {sys.executable} -m mangoramp "$@"\n'
        (folder / "bin" / "mangoramp").write_text(script)
        (folder / "bin" / "mangoramp").chmod(0o755)
        for path in target.iterdir():
            path.write_text(self._moved(path.read_text()))
        self.page = (target / "README.md").read_text()

    def run(self):
        """Run each block; what ends in ``&`` goes on until the end."""
        return [self._block(block) for block in BLOCK.findall(self.page)]

    def stop(self):
        for proc in self.running:
            proc.kill()
            proc.wait()

    def _block(self, block):
        front = []
        for line in block.splitlines():
            if line.endswith(" &"):
                if front:
                    self._front(front)
                    front = []
                self.running.append(self._start("exec " + line.removesuffix(" &")))
            else:
                front.append(line)
        return self._front(front)

    def _front(self, lines):
        deadline = time.monotonic() + STEP_S
        while True:
            proc = self._start("set -e\n" + "\n".join(lines))
            out, _ = proc.communicate(timeout=STEP_S)
            # The commands come faster than by hand: a daemon may not listen yet.
            if proc.returncode == 0 or time.monotonic() > deadline:
                assert proc.returncode == 0, out
                return out
            time.sleep(0.1)

    def _start(self, text):
        env = {"PATH": f"{self.folder / 'bin'}:/usr/bin:/bin"}
        return subprocess.Popen(
            ["sh", "-c", text], cwd=self.folder, env=env, stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL, text=True,
        )  # fmt: skip

    def _moved(self, text):
        for port in PORT.findall(text):
            if port not in self.ports:
                self.ports[port] = str(free_ports(1)[0])
        return PORT.sub(lambda found: self.ports[found[0]], text)


@pytest.fixture
def shell(tmp_path):
    shell = Shell(tmp_path)
    try:
        yield shell
    finally:
        shell.stop()


class TestPage:
    def test_runs_as_it_stands(self, shell):
        platform, _, keys, proxies, session = shell.run()
        assert "1 groups created" in platform
        assert "version" in keys
        assert proxies.count("ready") >= 4
        assert "entry-1" in proxies
        answers = [json.loads(line) for line in re.findall(r"\{.*?\}", session)]
        assert [answer["outcome"] for answer in answers] == ["done"] * 3
        assert answers[-1]["rows"] == [["A-101", 3]]
        key = json.loads((shell.folder / "run" / "key.json").read_text())["key"]
        logs = [path.read_text() for path in (shell.folder / "run").glob("proxy-*.log")]
        lines = [json.loads(line) for log in logs for line in log.splitlines()]
        assert {100, 200, 302} <= {line["event"] for line in lines}
        assert key not in "".join(logs)
        assert "A-101" not in "".join(logs)
