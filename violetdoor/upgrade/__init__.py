"""Two processes of one relay for a while: how they meet and talk, and what each service gives the other."""
