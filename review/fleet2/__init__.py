"""Stand-ins for the scripts of the second review, and what runs the fleet."""
