"""Open-loop measurements of real fleets on loopback addresses."""
