"""The built wheel contains every package, and each can be imported from it."""

from __future__ import annotations

import shutil
import subprocess
import sys
import zipfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGES = ("violetdoor",)


def test_every_package_can_be_imported_from_a_built_wheel(tmp_path: Path) -> None:
    """Guards against a package missing from the wheel.

    violetdoor.overload was missing once: an operator's file with an [overload] table then ended the program.
    """
    source, site = tmp_path / "source", tmp_path / "site"
    for name in PACKAGES:
        shutil.copytree(ROOT / name, source / name, ignore=shutil.ignore_patterns("__pycache__"))
    for name in ("pyproject.toml", "README.md"):
        shutil.copy(ROOT / name, source / name)
    build = [sys.executable, "-m", "pip", "-q", "wheel", "--no-deps", "--no-build-isolation", "--no-index"]
    subprocess.run([*build, "-w", str(tmp_path), str(source)], check=True)
    (wheel,) = tmp_path.glob("*.whl")
    with zipfile.ZipFile(wheel) as archive:
        archive.extractall(site)
    files = {
        str(p.relative_to(source)) for name in PACKAGES for p in (source / name).rglob("*") if p.is_file()
    }
    assert files <= {str(p.relative_to(site)) for p in site.rglob("*")}
    packages = sorted(str(Path(f).parent).replace("/", ".") for f in files if f.endswith("__init__.py"))
    code = f"import sys; sys.path.insert(0, {str(site)!r}); import importlib; "
    code += f"assert all(importlib.import_module(p).__file__.startswith({str(site)!r}) for p in {packages})"
    subprocess.run([sys.executable, "-I", "-c", code], check=True)
