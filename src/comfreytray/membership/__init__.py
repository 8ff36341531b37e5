"""Who is there: nodes among themselves, and the instance beside each."""
