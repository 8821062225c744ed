"""Stand-ins for the engines, services and platform that an entry host meets."""
