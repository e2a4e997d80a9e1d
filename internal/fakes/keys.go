package fakes

import (
	"fmt"

	"github.com/mimosaward/mimosaward/internal/idempotency"
)

// KeysInPartition returns count idempotency keys of the same partition.
func KeysInPartition(count int) []string {
	var keys []string
	for index := 0; len(keys) < count; index++ {
		if key := fmt.Sprint("k", index); idempotency.PartitionOf(key) == 0 {
			keys = append(keys, key)
		}
	}
	return keys
}
