"""Planning of the engines' roles by demand."""
