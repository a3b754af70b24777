"""Adapter to the users' platform: translates its wire formats and names, and makes no decisions.

No code outside this package uses the platform's names.
"""
