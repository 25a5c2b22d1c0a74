package gateway

import (
	"context"

	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/inquiry"
	"filbertstall.example/filbertstall/internal/loadshare"
)

// buildInquiry creates the controller that asks other instances, after the start of this
// one, for what they know.
func (gw *Gateway) buildInquiry() {
	gw.inquiry = inquiry.Inquiry{
		Self: gw.Settings.Instance, Members: gw.members.List, Ask: gw.askInstance, Outdated: gw.relaySwitch.Outdated, Clock: gw.Clock, Log: gw.Log,
	}
}

// askInstance asks one instance for what it knows and takes that over.
func (gw *Gateway) askInstance(ctx context.Context, me loadshare.Member) (informed bool, err error) {
	var eg errgroup.Group
	eg.Go(func() (err error) {
		informed, err = gw.relaySwitch.Inquire(ctx, me)
		return err
	})
	eg.Go(func() error { return gw.suspects.Pull(ctx, me.Address.String()) })
	eg.Go(func() error { return gw.signals.Pull(ctx, gw.relaySwitch.Caller, me.Address.String()) })
	if err := eg.Wait(); err != nil {
		return false, err
	}
	return informed, nil
}

// isInformed reports whether this instance may serve requests: it has asked others for
// what they know, or there are no others.
func (gw *Gateway) isInformed() bool { return gw.Settings.Peers == "" || gw.inquiry.Ended() }
