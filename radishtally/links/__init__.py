"""Message links between radishtally's own processes."""
