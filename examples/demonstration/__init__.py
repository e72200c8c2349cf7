"""The parts of the demonstration: processes, callers, workloads, checks."""
