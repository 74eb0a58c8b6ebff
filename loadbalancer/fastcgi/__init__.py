"""FastCGI 1.0 (the specification of 29 April 1996): records, both sides of a connection, and CGI headers. No I/O."""
