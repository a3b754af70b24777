"""The membership service: a thin shell around `core.membership`."""
