package gateway

import (
	"context"
	"time"

	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// The times that one call to the store waits for changes. The configuration's
// is short, since each answer proves that no newer one exists.
const (
	configurationWait = 1000 * time.Millisecond
	endpointsWait     = 3 * time.Second
	evacuationsWait   = 4 * time.Second
	membersWait       = 25 * time.Second
	// membersGap is behind the first list: all instances start together.
	membersGap = 2 * time.Second
)

// followConfiguration returns what follows the store's configuration.
func (gw *Gateway) followConfiguration() controller.Controller {
	return &feed.Follower[routing.Configuration]{
		Kind: "configuration", Source: gw.Adapter.Configurations, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: configurationWait,
		Sink: gw.configurationSink(),
	}
}

func (gw *Gateway) configurationSink() *configurationSink {
	return &configurationSink{name: gw.Adapter.ConfigurationName, state: &gw.state, log: gw.Log, changed: gw.relay.Observe}
}

// followOthers returns what follows the store's endpoints and zones.
func (gw *Gateway) followOthers() []controller.Controller {
	return []controller.Controller{
		&feed.Follower[roster.Endpoint]{
			Kind: "endpoints", Source: gw.Adapter.Endpoints, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: endpointsWait,
			Sink: &endpointSink{Roster: &gw.roster, contact: gw.relay.Contact},
		},
		&feed.Follower[string]{
			Kind: "evacuations", Source: gw.Adapter.Evacuations, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: evacuationsWait,
			Sink: &evacuationSink{roster: &gw.roster},
		},
	}
}

// fetchConfiguration reads the configuration from the store once.
func (gw *Gateway) fetchConfiguration(ctx context.Context) error {
	begun := gw.Boot.Now()
	list, _, err := gw.Adapter.Configurations.List(ctx)
	if err != nil {
		return err
	}
	sink := gw.configurationSink()
	sink.Reset(list)
	sink.Contact(begun)
	return nil
}
