package cmd_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/baobabdrum/baobabdrum/cmd"
)

func TestHostReportsEveryInvalidSetting(t *testing.T) {
	valid := []string{"host", "--name", "host-1", "--data-centre", "mu-north"}
	tests := map[string]struct {
		args []string
		env  map[string]string
		want []string
	}{
		"five flags": {
			args: []string{
				"host", "--name", "Host 1", "--data-centre", "", "--caller-address", "localhost:8080",
				"--senders", "0", "--call-timeout", "10",
			},
			want: []string{
				"settings: 5 invalid", `name="Host 1"`, `data-centre=""`, `caller-address="localhost:8080"`, `senders="0"`, `call-timeout="10"`,
			},
		},
		"environment": {
			args: valid,
			env:  map[string]string{"BAOBABDRUM_SENDERS": "many", "BAOBABDRUM_LOG_LEVEL": "loud"},
			want: []string{"settings: 2 invalid", `senders="many"`, `log-level="loud"`},
		},
		"flag before environment": {
			args: append(valid, "--senders=-1"),
			env:  map[string]string{"BAOBABDRUM_SENDERS": "12"},
			want: []string{"settings: 1 invalid", `senders="-1"`},
		},
		"no token beyond loopback": {
			args: append(valid, "--peer-address", "0.0.0.0:8081", "--operator-address", "192.0.2.1:8082"),
			want: []string{"settings: 2 invalid", `peer-address="0.0.0.0:8081"`, `operator-address="192.0.2.1:8082"`},
		},
		"one address for two fronts": {
			args: append(valid, "--caller-address", "127.0.0.1:8081"),
			want: []string{"settings: 1 invalid", `peer-address="127.0.0.1:8081": is the same as caller-address`},
		},
		"short token is not shown": {
			args: append(valid, "--token", "hunter2"),
			want: []string{"settings: 1 invalid", `token="(secret)": must have at least 16 characters`},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for variable, value := range test.env {
				t.Setenv(variable, value)
			}
			got := run(test.args...)
			assert.Equal(t, got.code, cmd.ExitInvalid)
			for _, want := range test.want {
				assert.Assert(t, cmp.Contains(got.messages, want))
			}
		})
	}
}
