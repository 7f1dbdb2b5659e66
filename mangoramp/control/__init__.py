"""What this process believes of its deployment, its endpoints and its peers."""
