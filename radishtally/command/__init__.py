"""Let operators look at the system and change it."""
