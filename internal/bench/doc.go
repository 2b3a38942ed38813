// Package bench measures the overhead of the system and the quality of its load balancing.
package bench
