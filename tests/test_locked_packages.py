"""Packages of the lock file and the folders that hold installed packages."""

import importlib.metadata
import pathlib
import platform
import re
import subprocess

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
ARCHITECTURES = {"aarch64", "x86_64"}
LOCK_LINE = re.compile(r"([A-Za-z0-9_.-]+)==([^\s]+)  # (.+)")


def read_lock():
    """Return the version and the wheels' platforms of each locked package."""
    rows = {}
    for line in (ROOT / "requirements.lock").read_text().splitlines():
        name, version, platforms = LOCK_LINE.fullmatch(line).groups()
        rows[name] = version, set(platforms.split())
    return rows


@pytest.mark.parametrize("name", sorted(read_lock()))
def test_package_installs_from_a_wheel_on_both_architectures(name):
    """A package without a wheel breaks the README's commands on that architecture."""
    _, platforms = read_lock()[name]
    assert "any" in platforms or platforms == ARCHITECTURES


@pytest.mark.parametrize("name", sorted(read_lock()))
def test_recorded_platforms_describe_the_installed_wheel(name):
    """A line that was edited by hand may claim wheels that do not exist."""
    version, platforms = read_lock()[name]
    distribution = importlib.metadata.distribution(name)
    assert distribution.version == version
    tags = re.findall(r"^Tag: (\S+)$", distribution.read_text("WHEEL"), re.MULTILINE)
    suffix = "-any" if "any" in platforms else f"_{platform.machine()}"
    assert tags and all(tag.endswith(suffix) for tag in tags)


@pytest.mark.parametrize(
    ("requirements", "inputs"),
    [
        ("deploy/requirements.txt", ["requirements.lock"]),
        ("requirements.lock", ["requirements.in", "requirements-dev.in"]),
    ],
)
def test_versions_of_requirement_files_agree(requirements, inputs):
    """The deployed program must run with the packages that the tests ran with."""

    def read(path):
        lines = (ROOT / path).read_text().split("\n")
        return {line.split("#")[0].strip().lower() for line in lines if line}

    listed = read(requirements)
    for path in inputs:
        smaller, larger = sorted((listed, read(path)), key=len)
        assert smaller <= larger


def test_folder_built_elsewhere_is_built_again(tmp_path):
    """Binaries of another architecture must not be used because they are newer."""
    requirements = tmp_path / "requirements.txt"
    requirements.write_text("")
    command = [ROOT / "scripts/build-key", requirements]
    key = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert key.split()[-1].endswith(platform.machine())
    requirements.write_text("six==1.17.0\n")
    other = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert other != key
