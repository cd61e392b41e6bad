"""State and selection of the model engines that an entry calls directly."""
