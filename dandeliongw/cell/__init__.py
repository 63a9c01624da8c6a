"""The backend servers of one service: who owns them and who gets them."""
