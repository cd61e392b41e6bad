"""Planning of the engines' roles."""
