"""What a host learns of targets."""
