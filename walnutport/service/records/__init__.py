"""Services that read and write the streams of the log service."""
