"""Pure decisions: messages and the time go in, messages come out."""
