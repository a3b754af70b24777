"""Runs the program as `python -m bramblebeam`."""

from bramblebeam.cli.main import main

main()
