package queue_test

import (
	"fmt"
	"time"

	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
)

func ExampleQueue() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := queue.New(queue.WithSlots(1), queue.WithFloor(rank.Bulk, 0.1))
	for _, r := range []queue.Request{
		{ID: "report", Workspace: "clinic", Kind: "draft", Rank: rank.Bulk, MaxTokens: 500},
		{ID: "query", Workspace: "drivers", Kind: "answer", Rank: rank.Urgent, MaxTokens: 50},
	} {
		if _, err := q.Enqueue(now, r); err != nil {
			fmt.Println(err)
		}
		for _, action := range q.Schedule(now) {
			fmt.Printf("%T %v\n", action, action)
		}
	}
	q.Finish(now.Add(time.Second), "query")
	for _, action := range q.Schedule(now.Add(time.Second)) {
		fmt.Printf("%T %v\n", action, action)
	}
	// Output:
	// queue.Start {report false}
	// queue.Preempt {report}
	// queue.Start {query false}
	// queue.Start {report true}
}
