"""What an entry knows of model engines that it reaches itself, and how it uses them."""
