"""The daemon of the load balancer."""
