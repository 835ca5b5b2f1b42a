package gateway_test

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/route"
)

// definition is a configuration with a route of each kind.
func definition(version int64) route.Definition {
	common := route.Route{Host: "h.example", Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2, Anonymous: true}
	with := func(name, service string, change func(*route.Route)) route.Route {
		r := common
		r.Name, r.Prefix = name, "/"+name+"/"
		r.Split = []route.WeightedService{{Service: fleet.ServiceID(service), Weight: 1}}
		change(&r)
		return r
	}
	return route.Definition{
		Version: version,
		Routes: []route.Route{
			with("safe", "plain", func(r *route.Route) { r.Kind = route.Safe }),
			with("unsafe", "plain", func(*route.Route) {}),
			with("keyed", "plain", func(r *route.Route) { r.Anonymous = false }),
			with("stream", "engines", func(r *route.Route) { r.Kind, r.Generative = route.Stream, true }),
			with("resumable", "engines", func(r *route.Route) { r.Kind, r.Generative, r.Resumable = route.Stream, true, true }),
		},
		Services: []route.Service{
			{ID: "plain"},
			{ID: "engines", Engine: &route.Engine{Slots: 64, MemoryTokens: 500_000}},
		},
		Teams:  []route.Team{{ID: "t1", Keys: []string{"k1"}}},
		Limits: route.Limits{BodyBytes: 1 << 12},
	}
}

// plainDefinition is a configuration whose routes all go to the service plain.
func plainDefinition() route.Definition {
	d := definition(1)
	for i := range d.Routes {
		d.Routes[i].Anonymous, d.Routes[i].Generative = true, false
		d.Routes[i].Split = []route.WeightedService{{Service: "plain", Weight: 1}}
	}
	d.Services[0].HealthPath = "/health"
	return d
}
