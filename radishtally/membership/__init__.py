"""What a process knows about the hosts."""
