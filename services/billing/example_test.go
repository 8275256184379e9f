package billing_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/billing"
)

// flakyPoster fails the first post after the entries were stored.
type flakyPoster struct{ posts int }

func (p *flakyPoster) Post(_ context.Context, shard int, entries ...ledger.Entry) error {
	p.posts++
	fmt.Printf("post %d to shard %d: %d entries\n", p.posts, shard, len(entries))
	if p.posts == 1 {
		return errors.New("connection lost")
	}
	return nil
}

func ExampleOutbox_Add() {
	outbox := billing.New(billing.WithPoster(&flakyPoster{}))
	if err := outbox.Start(context.Background(), kernel.New(hclog.NewNullLogger())); err != nil {
		fmt.Println(err)
		return
	}
	bill := ledger.Bill{RequestID: "r1", Workspace: "clinic", Tokens: 30}
	settled := make(chan struct{})
	outbox.Add(3, []ledger.Entry{bill}, func() { close(settled) })
	<-settled
	fmt.Println("owed:", outbox.Pending())
	if err := outbox.Close(); err != nil {
		fmt.Println(err)
	}
	// Output:
	// post 1 to shard 3: 1 entries
	// post 2 to shard 3: 1 entries
	// owed: 0
}
