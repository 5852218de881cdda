"""The commands of the executable, a module for each family."""
