// Package schema defines the messages and settings of every process. Types,
// codecs and flags are generated from messages.yaml and settings.yaml; only the
// checks of raw settings are written by hand. It makes no decisions and
// implements no protocol. Change the YAML files to add a field or a setting,
// then run make generate.
package schema

//go:generate ../bin/go-jsonschema -p schema --tags json,msg --only-models --struct-name-from-title --disable-omitempty --capitalization ID -o messages_gen.go messages.yaml
//go:generate ../bin/msgp -file messages_gen.go -o codec_gen.go -tests=false -d "tuple StoreVersion Host Heartbeat Digest Override ServerLoad Beacon Registration RolloutEvidence RolloutReport ShareNeed ShareLoan ShareReturn ShareReport" -d "limit arrays:65536 maps:64"
//go:generate ../bin/settingsgen settings.yaml settings_gen.go
