package sheetcsv_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/sheetcsv"
)

// header is the header row.
const header = "kind,name,service,data_centre,address,slots,connections,state,at,probes_per_1000_s,idempotent\n"

// validSheet has one row of each kind.
const validSheet = header + `day,,,,,,,,2026-12-04,,
data_centre,mu-north,,,,,,in,,,
service,catalogue,,,,,,,,1000,yes
backend_server,,catalogue,mu-north,192.0.2.1:9000,4,240,in,,,
planned_stop,host-1,,,,,,,2026-12-04T18:30:00+04:00,,
`

func TestParse(t *testing.T) {
	tests := map[string]struct {
		old, replacement string
		places           []string
	}{
		"valid sheet":                       {},
		"wrong header":                      {old: "kind,", replacement: "kinds,", places: []string{"row 1"}},
		"missing day":                       {old: "day,,,,,,,,2026-12-04,,\n", places: []string{"rows"}},
		"invalid day":                       {old: "2026-12-04,", replacement: "2026-13-04,", places: []string{"row 2 column at"}},
		"unknown kind":                      {old: "service,cat", replacement: "servant,cat", places: []string{"row 4 column kind"}},
		"undeclared service":                {old: ",catalogue,mu", replacement: ",orders,mu", places: []string{"backend_server 192.0.2.1:9000 column service"}},
		"two faults in one row":             {old: ",4,240,in", replacement: ",0,240,on", places: []string{"row 5 column slots", "row 5 column state"}},
		"address without port":              {old: "192.0.2.1:9000", replacement: "192.0.2.1", places: []string{"row 5 column address"}},
		"time without zone":                 {old: "+04:00", places: []string{"row 6 column at"}},
		"value in a column of another kind": {old: "data_centre,mu-north,,,", replacement: "data_centre,mu-north,x,,", places: []string{"row 3 column service"}},
		"wrong number of columns":           {old: "yes\n", replacement: "yes,\n", places: []string{"row 4"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := sheetcsv.Parse("sheet.csv", []byte(strings.Replace(validSheet, test.old, test.replacement, 1)))
			places := []string(nil)
			var invalid *schema.InvalidError
			if errors.As(err, &invalid) {
				for _, fault := range invalid.Faults {
					places = append(places, strings.TrimPrefix(fault.Place, "sheet.csv "))
				}
			}
			assert.DeepEqual(t, places, test.places)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSheet))
	f.Add([]byte(header))
	f.Add([]byte(header + "day,\"\n"))
	f.Add([]byte("\xff\xfe"))
	f.Fuzz(func(t *testing.T, data []byte) {
		configuration, err := sheetcsv.Parse("sheet.csv", data)
		var invalid *schema.InvalidError
		if err != nil {
			assert.Assert(t, errors.As(err, &invalid) && len(invalid.Faults) > 0, "%v", err)

			return
		}
		assert.Assert(t, configuration.Day != "")
		for _, server := range configuration.BackendServers {
			assert.Assert(t, server.Slots > 0 && schema.IsName(server.Service) && schema.IsName(server.DataCentre))
		}
	})
}
