"""CPU time and memory of processes, read from /proc."""

import os
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_FIELD = 11
_SYSTEM_FIELD = 12


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used (user and system, seconds)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])) / _TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process (bytes)."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES
