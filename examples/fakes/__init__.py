"""Small fakes of the platform's interfaces: a model engine and a plain service."""
