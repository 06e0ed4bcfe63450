package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// lookups sends a read of a random key through the node each 50 ms until ctx ends.
func lookups(ctx context.Context, rec *recorder, n *node) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%04d", n.name, i)
		running.Go(func() {
			key := map[string]string{"Cardamomseam-Shard-Key": strconv.Itoa(rand.IntN(keyCount))}
			send(rec, n.ingress, "GET", "/look/"+id, id, 800*time.Millisecond, "", key)
		})
		time.Sleep(50 * time.Millisecond)
	}
}
