package gateway

import (
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/spillover"
)

// buildSpillover lets package spillover decide which requests leave their zone, if the
// deployment has more than one.
func (gw *Gateway) buildSpillover() []controller.Controller {
	if gw.Settings.ZoneCount < 2 {
		return nil
	}
	li := &serviceList{state: &gw.state}
	co := &spillover.Controller{Zone: gw.Settings.Zone, Services: li.services, Loads: gw.zoneLoads, Instances: gw.zoneInstances, Clock: gw.Clock, Log: gw.Log, Scope: gw.metrics.Scope}
	gw.tracker.Zones = co
	return []controller.Controller{co}
}

// zoneLoads returns the loads of a service's zones.
func (gw *Gateway) zoneLoads(service string, typical placement.Demand) []placement.ZoneLoad {
	return gw.tracker.ZoneLoads(gw.roster.View().Ready(service), typical)
}

// zoneInstances returns the number of registered instances of the own zone.
func (gw *Gateway) zoneInstances() int {
	count := 0
	for _, me := range gw.members.List() {
		if me.Zone == gw.Settings.Zone {
			count++
		}
	}
	return count
}

// serviceList is the list of the services of the configuration in force.
type serviceList struct {
	state   *routing.State
	version int64
	list    []spillover.Service
}

// services returns the list and builds it if the configuration changed.
func (sl *serviceList) services() []spillover.Service {
	cf := sl.state.Load()
	if cf == nil || cf.Version == sl.version {
		return sl.list
	}
	sl.version, sl.list = cf.Version, nil
	for name, objective := range cf.Objectives() {
		if se, found := cf.Service(name); found {
			sl.list = append(sl.list, spillover.Service{Name: name, Engine: se.Engine, Objective: objective})
		}
	}
	return sl.list
}
