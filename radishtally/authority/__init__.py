"""Planner leases, plans, and the orders by which agents carry the plans out."""
