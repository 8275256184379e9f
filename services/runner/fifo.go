package runner

import (
	"time"

	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// fifo is a bounded queue, first come first served within a rank.
type fifo struct {
	slots    int
	limit    int
	waiting  [rank.Count][]queued
	running  map[string]bool
	draining bool
}

type queued struct {
	ID   string
	Rank rank.Rank
}

// queueStart is the queue's order to run a request on the server.
type queueStart struct {
	ID string
}

func newFIFO(slots, limit int) *fifo {
	return &fifo{slots: slots, limit: limit, running: map[string]bool{}}
}

func (q *fifo) offer(item queued) error {
	if q.draining {
		return refusal.New(refusal.Draining, 0, "The server is leaving: use another one.")
	}
	if len(q.waiting[item.Rank]) >= q.limit {
		return refusal.New(refusal.QueueFull, time.Second, "The server's queue is full.")
	}
	q.waiting[item.Rank] = append(q.waiting[item.Rank], item)
	return nil
}

func (q *fifo) next() []queueStart {
	var starts []queueStart
	for r := range q.waiting {
		for len(q.waiting[r]) > 0 && len(q.running) < q.slots {
			item := q.waiting[r][0]
			q.waiting[r] = q.waiting[r][1:]
			q.running[item.ID] = true
			starts = append(starts, queueStart{ID: item.ID})
		}
	}
	return starts
}

func (q *fifo) remove(id string) {
	delete(q.running, id)
	for r, items := range q.waiting {
		for i, item := range items {
			if item.ID == id {
				q.waiting[r] = append(items[:i:i], items[i+1:]...)
				return
			}
		}
	}
}
