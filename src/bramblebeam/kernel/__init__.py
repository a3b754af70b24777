"""The micro-kernel: services with mailboxes that address each other by name."""

from bramblebeam.kernel.kernel import Kernel, RestartRule
from bramblebeam.kernel.mailbox import Mailbox, MailboxFullError, ServiceFailedError
from bramblebeam.kernel.service import Service

__all__ = ["Kernel", "Mailbox", "MailboxFullError", "RestartRule", "Service", "ServiceFailedError"]
