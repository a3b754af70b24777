"""Log lines and metrics texts as records; what is none of ours is told apart."""
