"""Commands of the executable, one module for each group."""
