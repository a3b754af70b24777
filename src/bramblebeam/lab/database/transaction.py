"""The statements of one open transaction."""

from dataclasses import dataclass, field

from bramblebeam.edges.mysql.results import CallerError
from bramblebeam.lab.database.operations import Operation


@dataclass(slots=True)
class Transaction:
    """Statements in order, with what the client was told, and the savepoints among them."""

    operations: list[Operation] = field(default_factory=list)
    savepoints: dict[str, int] = field(default_factory=dict)

    @property
    def before(self) -> tuple[Operation, ...]:
        """What the next statement comes after."""
        return tuple(self.operations)

    @property
    def changes_rows(self) -> bool:
        """Whether there is anything to commit: locking reads alone are not."""
        return any(not operation.digest for operation in self.operations)

    def set_savepoint(self, name: str) -> None:
        """Remember this place."""
        self.savepoints[name] = len(self.operations)

    def roll_back_to(self, name: str) -> None:
        """Drop the statements after a savepoint. Raises CallerError 1305."""
        kept = self.savepoints.get(name)
        if kept is None:
            raise CallerError(1305, "42000", f"SAVEPOINT {name} does not exist")
        del self.operations[kept:]
