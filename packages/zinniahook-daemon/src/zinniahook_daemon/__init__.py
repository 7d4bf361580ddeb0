"""zinniahookd: entry and agent."""
