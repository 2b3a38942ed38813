// Package budget implements prepaid budgets: escrow that holders draw from the store, reservations, settlement and
// the take-over of failed holders.
//
// A holder is one incarnation of one instance. A draw raises its grant by compare-and-swap on the budget's page;
// reservations of its zone are then served from memory. Every reservation and every charge that has not reached the
// store is known to two processes, the holder (Home) and the serving instance (Client). docs/design/escrow.md
// compares this design with its alternatives.
package budget
