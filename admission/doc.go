// Package admission decides whether a request is sent to an upstream at once, and
// to which, or refused at once. It answers overload: more requests than the
// upstreams can answer on time, unevenly spread over teams, prompts and routers.
//
// It predicts the time to the first token at each engine from the prompt tokens
// ahead of the request, and sends only what will be on time. While there is more
// work than capacity, teams that received more than their max-min share have to
// leave the engines' queues to the others.
//
// It has no I/O, clock, goroutine or random source. A Scheduler is not safe for
// concurrent use.
package admission
