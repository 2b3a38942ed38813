// Package budget implements prepaid budgets: grants of tokens to holders, reservations, settlement and the take-over of
// failed holders.
//
// A holder is one incarnation of one instance. It raises its grant on a budget by compare-and-swap on the budget's
// page in the store; reservations of its zone are then served from memory. The granted tokens are its escrow. Every
// reservation and every charge that has not reached the store is known to two processes, the holder (Holder) and the
// serving instance (Client). docs/design/escrow.md compares this design with its alternatives.
//
// The chat edge uses it: package instance runs the Holder and the Client, and package gateway reserves and settles
// through the Client. Package escrow is the counterpart for the instances of package router. It has its own Holder,
// Page, Row, Report and View with other meanings, and neither package uses the other. Here, a Row is a whole budget,
// and a Grant is one holder's part of it.
package budget
