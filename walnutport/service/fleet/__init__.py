"""What a host shares with its peers."""
