"""Which engines compute prompts and which make answers, and who says so."""
