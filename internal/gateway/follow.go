package gateway

import (
	"context"
	"time"

	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/rollout"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// The long-poll timeouts of calls that watch the store. That of the
// configuration is short because each answer confirms that no newer
// configuration exists.
const (
	configurationWait = 1000 * time.Millisecond
	endpointsWait     = 3 * time.Second
	evacuationsWait   = 4 * time.Second
	membersWait       = 25 * time.Second
	// membersBatchDelay is the pause after each membership update, so that one
	// call returns several updates. All instances start at about the same time.
	membersBatchDelay = 2 * time.Second
)

// followConfiguration returns the controller that watches the configuration in
// the store.
func (gw *Gateway) followConfiguration() controller.Controller {
	return &feed.Follower[routing.Configuration]{
		Kind: "configuration", Source: gw.Adapter.Configurations, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: configurationWait,
		Sink: gw.configurationSink(), Eras: &gw.eras,
	}
}

func (gw *Gateway) configurationSink() *configurationSink {
	return &configurationSink{
		name: gw.Adapter.ConfigurationName, state: &gw.state, log: gw.Log,
		onChange: gw.relay.Observe, onAnswer: gw.relay.ConfigurationAnswered, onFailure: gw.relay.ConfigurationFailed,
		onRestored: gw.adoptNewestConfiguration,
	}
}

// followOperators returns the controllers that watch the endpoints, the evacuated zones and
// the roll-outs in the store.
func (gw *Gateway) followOperators() []controller.Controller {
	list := []controller.Controller{
		&feed.Follower[roster.Endpoint]{
			Kind: "endpoints", Source: gw.Adapter.Endpoints, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: endpointsWait, Eras: &gw.eras,
			Sink: &endpointSink{Roster: &gw.roster, onList: gw.relay.StoreAnswered, onAnswer: gw.relay.CallAnswered},
		},
		&feed.Follower[string]{
			Kind: "evacuations", Source: gw.Adapter.Evacuations, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: evacuationsWait, Eras: &gw.eras,
			Sink: &evacuationSink{roster: &gw.roster, clock: gw.Clock},
		},
	}
	if ro := gw.rollouts; ro != nil {
		list = append(list, &feed.Follower[rollout.Order]{
			Kind: "rollouts", Source: rolloutSource{Source: gw.Adapter.Rollouts, orders: &ro.orders, roster: &gw.roster}, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: rolloutsWait, Eras: &gw.eras,
			Sink: &rolloutSink{orders: &ro.orders, clock: gw.Clock, log: gw.Log, list: make(map[string]rollout.Order)},
		})
	}
	return list
}

// followMembers returns the controller that watches the registered instances in
// the store.
func (gw *Gateway) followMembers() controller.Controller {
	return &feed.Follower[loadshare.Member]{
		Kind: "members", Source: gw.Adapter.Members, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: membersWait, BatchDelay: membersBatchDelay, Eras: &gw.eras,
		Sink: &memberSink{members: &gw.members, onChange: gw.relay.Observe, onLost: gw.registerAgain},
	}
}

// fetchConfiguration reads the configuration from the store once and applies it.
func (gw *Gateway) fetchConfiguration(ctx context.Context) error {
	start := gw.Boot.Now()
	list, _, err := gw.Adapter.Configurations.List(ctx)
	if err != nil {
		return err
	}
	sink := gw.configurationSink()
	sink.Reset(list)
	sink.CallAnswered(start)
	return nil
}

// adoptNewestConfiguration takes a newer configuration from other zones, if there are
// other instances. It takes a fraction of a second at most.
func (gw *Gateway) adoptNewestConfiguration() {
	if gw.Settings.Peers != "" {
		gw.relaySwitch.AdoptNewest(context.Background())
	}
}
