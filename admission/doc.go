// Package admission implements admission control and upstream selection for one
// service at one router. Each request is either dispatched immediately or refused
// immediately. It handles overload: more requests than the upstreams can answer on
// time, unevenly distributed over teams, prompts and routers.
//
// The scheduler predicts the time to first token at each engine from the prompt
// tokens queued ahead of the request and admits only requests that are predicted to
// be on time. Under contention, teams that were served more than their max-min share
// get a shorter queueing limit, so that the other teams' requests are admitted first.
//
// The package performs no I/O, starts no goroutines and uses neither the system clock
// nor a random source. A Scheduler is not safe for concurrent use.
package admission
