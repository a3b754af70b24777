"""The statements of one open transaction."""

from dataclasses import dataclass, field

from bramblebeam.edges.mysql.results import CallerError
from bramblebeam.lab.database.operations import Operation


@dataclass(slots=True)
class Transaction:
    """The statements in order, with the results reported to the client, and the savepoints."""

    operations: list[Operation] = field(default_factory=list)
    savepoints: dict[str, int] = field(default_factory=dict)

    @property
    def preceding_operations(self) -> tuple[Operation, ...]:
        """The statements that the next one follows."""
        return tuple(self.operations)

    @property
    def changes_rows(self) -> bool:
        """Whether there are writes to commit; locking reads alone need no commit."""
        return any(not operation.digest for operation in self.operations)

    def set_savepoint(self, name: str) -> None:
        """Set a savepoint after the current statements."""
        self.savepoints[name] = len(self.operations)

    def roll_back_to(self, name: str) -> None:
        """Discard the statements after a savepoint. Raises CallerError 1305."""
        kept = self.savepoints.get(name)
        if kept is None:
            raise CallerError(1305, "42000", f"SAVEPOINT {name} does not exist")
        del self.operations[kept:]
