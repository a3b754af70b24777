"""Randomized fault-injection soak of the deployed role, judged by what callers observed."""
