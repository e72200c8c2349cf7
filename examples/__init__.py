"""Examples: bundles of two deployments, fakes of backend servers, a demonstration."""
