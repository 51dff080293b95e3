package schema_test

import (
	"fmt"

	"github.com/baobabdrum/baobabdrum/schema"
)

// A version of a restored store is newer than any version of the store before, whatever
// their numbers, and does not continue it.
func ExampleStoreVersion() {
	before := schema.StoreVersion{Epoch: 1, Version: 112}
	restored := schema.StoreVersion{Epoch: 2, Version: 53}
	fmt.Println(restored, restored.IsNewer(before), restored.Continues(before))

	later := schema.StoreVersion{Epoch: 2, Version: 130}
	fmt.Println(later, later.IsNewer(restored), later.Continues(restored), later.Continues(before))
	// Output:
	// 2.53 true false
	// 2.130 true true false
}
