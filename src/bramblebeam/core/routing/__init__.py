"""What a statement is, which back end it goes to, and what follows from an answer or its loss."""
