// Package membership tests how upstreams and routers leave and come back.
package membership
