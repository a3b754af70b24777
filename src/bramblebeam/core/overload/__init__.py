"""Decisions under load: who begins, who waits, who goes where, who comes back when. All pure."""
