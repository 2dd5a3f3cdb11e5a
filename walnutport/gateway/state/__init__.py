"""The desired state and the targets as this host knows them."""
