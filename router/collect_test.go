package router

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

func TestOnlyTheLowestConnectedRouterCollects(t *testing.T) {
	g := NewWithT(t)
	routers := []fleet.NodeID{"b", "a", "c"}
	var collecting []fleet.NodeID
	for i, self := range routers {
		others := append(append([]fleet.NodeID{}, routers[:i]...), routers[i+1:]...)
		if isCollector(self, others) {
			collecting = append(collecting, self)
		}
	}
	g.Expect(collecting).To(Equal([]fleet.NodeID{"a"}))
	g.Expect(isCollector("c", nil)).To(BeTrue())
}
