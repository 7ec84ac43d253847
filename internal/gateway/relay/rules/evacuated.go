package rules

import "slices"

// Evacuated decides whether a request is refused immediately because a service that it
// needs has targets in evacuated data centres only, and returns that service.
//
// The case behind this is an operator who evacuates the last data centre of a service
// under traffic. Without the rule the stages before that service compute results that
// cannot be used, and clients wait for as long as items are kept, which is most of their
// time; with it they learn immediately that nothing ran and when to retry. When a data
// centre is available again is unknown, so the time to retry follows from the client's own
// timeout, as after every refusal (RetryAfter).
//
// services are the services that the request needs, in order of use; allEvacuated reports
// whether all data centres of a service are evacuated in the newest view. A service
// without targets does not cause a refusal here, since a target may start. A wrong refusal
// costs the client a retry.
func Evacuated(services []string, allEvacuated func(service string) bool) (service string, refused bool) {
	i := slices.IndexFunc(services, allEvacuated)
	if i < 0 {
		return "", false
	}
	return services[i], true
}
