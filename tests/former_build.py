"""The former build of the project, whose commit ``deploy/system.toml`` names."""

import io
import subprocess
import tarfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def production_commit():
    """Return the commit that runs when an upgrade begins."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["production"]


def unpack_former_build(folder, commit=""):
    """Unpack the package of the former build into a folder, and return the folder.

    Another commit than the one in production may be given.

    A process that is started there imports it in place of this build.
    """
    packed = subprocess.run(
        ["git", "archive", commit or production_commit(), "mangoramp"],
        cwd=ROOT,
        capture_output=True,
        check=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(folder, filter="data")
    return folder
