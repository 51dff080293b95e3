package edge

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against metrics whose number grows with that of tenants.
func TestTenantLabels(t *testing.T) {
	labels := &tenantLabels{}
	for range 2 {
		for i := range 60 {
			tenant := fmt.Sprint("t", i)
			want := tenant
			if i >= maxTenantLabels {
				want = otherTenants
			}
			assert.Equal(t, labels.label(tenant), want)
		}
	}
}
