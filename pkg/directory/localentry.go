package directory

import (
	"context"
	"encoding/json"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

const (
	// writeTimeout bounds one write of the local entry.
	writeTimeout = time.Second
	// minWriteInterval is the minimum delay between two writes of the local entry.
	minWriteInterval = 150 * time.Millisecond
)

// SetLocal sets the local entry, which Run then writes to the topic.
func (d *Directory) SetLocal(e Entry) {
	d.mu.Lock()
	if d.local == nil || *d.local != e {
		d.local = &e
		d.publish()
	}
	d.mu.Unlock()
	d.signalWrite()
}

func (d *Directory) signalWrite() {
	select {
	case d.writeSignal <- struct{}{}:
	default:
	}
}

// pendingWrite returns the local entry if the topic holds a different one or none,
// otherwise nil.
func (d *Directory) pendingWrite() *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.local == nil || d.nodes[d.Self] == *d.local {
		return nil
	}
	e := *d.local
	return &e
}

// Run writes the local entry to the topic whenever the topic holds a different one, and
// departures that it lacks, until ctx ends. This also corrects the topic after an earlier
// write took effect late and replaced a newer one. Run also removes the entries that were
// kept after a restore once their time has passed.
func (d *Directory) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.writeSignal:
		case <-d.Clock.After(recheckInterval):
		}
		d.recheck()
		d.writeDueDepartures(ctx)
		e := d.pendingWrite()
		if e == nil {
			continue
		}
		d.write(ctx, *e)
		if clock.Sleep(ctx, d.Clock, minWriteInterval) != nil {
			return
		}
	}
}

// Flush writes the local entry once, without a retry, if the topic does not hold it. It
// is meant for the shutdown.
func (d *Directory) Flush(ctx context.Context) {
	if e := d.pendingWrite(); e != nil {
		d.write(ctx, *e)
	}
}

func (d *Directory) write(ctx context.Context, e Entry) {
	value, err := json.Marshal(e)
	if err != nil {
		d.Logger.WithError(err).Error("cannot encode the local directory entry")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := d.Put(ctx, topic.Record{Key: string(d.Self), Value: value}); err != nil {
		d.Logger.WithError(err).Warn("cannot write the local directory entry; retrying")
		return
	}
	d.Logger.WithField("entry", string(value)).Info("own entry written")
}
