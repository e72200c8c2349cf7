"""The operators' client of the load balancer."""
