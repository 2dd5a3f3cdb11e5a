"""What a host shows to operators."""
