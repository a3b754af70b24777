"""Processor time and memory of processes that the laboratory started, from /proc."""

import os
from pathlib import Path

_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")
_USER_FIELD = 11
_SYSTEM_FIELD = 12


def cpu_seconds(pid: int) -> float:
    """Return the processor time a process has used (seconds, user and system)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])) / _TICKS


def resident_bytes(pid: int) -> int:
    """Return the memory a process has in use."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE
