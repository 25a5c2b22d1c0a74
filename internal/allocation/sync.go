package allocation

import (
	"context"
	"time"
)

// minSyncGap limits how soon a requested sync follows the one before.
const minSyncGap = 10 * time.Millisecond

// syncLoop sends the state of all links every SyncInterval, and also soon
// after requestSync.
func (gt *Granter) syncLoop(ctx context.Context) error {
	ticker := gt.Clock.NewTicker(SyncInterval)
	defer ticker.Stop()
	for {
		gt.syncAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			continue
		case <-gt.syncRequested:
		}
		gt.sleep(ctx, minSyncGap)
	}
}

// syncAll sends the syncs that are due, with one message for each holder.
func (gt *Granter) syncAll(ctx context.Context) {
	now := gt.Clock.Now()
	messages := make(map[string][]*link)
	for _, li := range gt.allLinks() {
		address, found := gt.holderOf(li.group)
		if found && li.syncDue(now) {
			messages[address] = append(messages[address], li)
		}
	}
	for address, list := range messages {
		args := &SyncArgs{Instance: gt.Instance}
		for _, li := range list {
			args.Groups = append(args.Groups, li.beginSync(now))
		}
		go gt.sendSync(ctx, address, list, args, now)
	}
}

func (gt *Granter) allLinks() []*link {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	list := make([]*link, 0, len(gt.links))
	for _, li := range gt.links {
		list = append(list, li)
	}
	return list
}

func (gt *Granter) sendSync(ctx context.Context, address string, list []*link, args *SyncArgs, sent time.Time) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var reply SyncReply
	err := gt.call(ctx, address, "Sync", args, &reply)
	for ix, li := range list {
		if err != nil || ix >= len(reply.Groups) {
			li.syncFailed()
			continue
		}
		li.syncAnswered(&args.Groups[ix], sent, address, &reply.Groups[ix])
		if len(reply.Groups[ix].Unknown) > 0 {
			gt.requestSync()
		}
	}
}

// probeHolders probes holders that this instance may not send to because they
// have not answered. A probe does not change the holder's state, in particular
// not the time at which it last saw this instance. Syncs resume only after a
// probe has been answered.
func (gt *Granter) probeHolders(ctx context.Context) {
	now := gt.Clock.Now()
	cf := gt.Configuration.Load()
	if cf == nil {
		return
	}
	for _, gr := range groups(cf) {
		li := gt.link(gr)
		address, found := gt.holderOf(gr)
		if found && li.hasShare() && !li.sending(now) {
			go gt.probeHolder(ctx, li, address)
		}
	}
}

func (gt *Granter) probeHolder(ctx context.Context, li *link, address string) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var reply ProbeReply
	if err := gt.call(ctx, address, "Probe", &ProbeArgs{Group: li.group}, &reply); err != nil || !reply.Held {
		return
	}
	li.allowMessages(gt.Clock.Now())
	gt.requestSync()
}

func (li *link) sending(now time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.maySend(now)
}
