"""What the cases 4 to 8 of the review share."""
