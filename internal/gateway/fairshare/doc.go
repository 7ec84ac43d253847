// Package fairshare decides which organisations ask for more than their share of a full
// service.
//
// A Table covers one batch service and is owned by its coordinator. It tracks how many items
// per second each organisation asks for. The service is full while the sum exceeds the
// service's rate. The fair share of a full service is the level at which the sum of
// min(asked, level) is the rate (max-min fairness): an organisation that asks for less is not
// affected, and one that asks for more has a token bucket that fills at the level. Plans
// without tokens are marked; relay/rules.Admit decides what that means for a request.
//
// The rules are in files of their own:
//
//   - rate.go: the rate that the level is derived from
//   - demand.go: what organisations ask for, and the level
//   - table.go: when a plan is marked, and when tokens are given back
//
// A mark that is missing lets an organisation take more than its share, as without the
// package; a mark too many costs it a request that would have been served. Each guard is
// therefore on the side of fewer marks: no marks while the table learns, none while the rate
// is unknown, and the rate is the highest estimate of the last two seconds.
//
// The package does no I/O, reads no clock and starts no goroutines. A Table is not safe for
// concurrent use. Its state is bounded and is lost with the coordinator.
package fairshare
