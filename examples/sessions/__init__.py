"""Whole sessions, once in memory and once across processes, held to golden files."""
