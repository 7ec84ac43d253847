package rules

import "slices"

// Evacuated decides whether a request is refused at once because a service that it needs
// has targets in evacuated data centres alone, and returns that service.
//
// The load that it answers: an operator who evacuates the last data centre of a service
// while requests of all routes come. Without the rule the stages before that service run
// for results that nobody can use, and callers wait for as long as items are kept, which
// is most of their time; with it they hear at once that nothing ran and when to retry.
// Nobody knows when a data centre is taken back, so that the client's own time decides
// when to retry, as after every refusal (RetryAfter).
//
// Inputs are the services that the request needs, in order, and whether all data centres
// of a service are evacuated by the newest view. A service without any target is not
// refused here: one may start. A wrong refusal costs the client a retry.
func Evacuated(services []string, allEvacuated func(service string) bool) (service string, refused bool) {
	i := slices.IndexFunc(services, allEvacuated)
	if i < 0 {
		return "", false
	}
	return services[i], true
}
