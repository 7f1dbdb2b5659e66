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
SHELL_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)
PORT = re.compile(r"\b7[5-9]\d\d\b")
STEP_TIMEOUT_S = 45.0


class Shell:
    """Runs the commands of the example page in a temporary folder on free ports."""

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
            path.write_text(self._remap_ports(path.read_text()))
        self.page = (target / "README.md").read_text()

    def run(self):
        """Run all blocks; commands that end in ``&`` run until :meth:`stop`."""
        return [self._run_block(block) for block in SHELL_BLOCK.findall(self.page)]

    def stop(self):
        for proc in self.running:
            proc.kill()
            proc.wait()

    def _run_block(self, block):
        foreground = []
        for line in block.splitlines():
            if line.endswith(" &"):
                if foreground:
                    self._run_foreground(foreground)
                    foreground = []
                self.running.append(self._start("exec " + line.removesuffix(" &")))
            else:
                foreground.append(line)
        return self._run_foreground(foreground)

    def _run_foreground(self, lines):
        deadline = time.monotonic() + STEP_TIMEOUT_S
        while True:
            proc = self._start("set -e\n" + "\n".join(lines))
            out, _ = proc.communicate(timeout=STEP_TIMEOUT_S)
            # A process started by an earlier command may not listen yet; retry.
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

    def _remap_ports(self, text):
        for port in PORT.findall(text):
            if port not in self.ports:
                self.ports[port] = str(free_ports(1)[0])
        return PORT.sub(lambda match: self.ports[match[0]], text)


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
