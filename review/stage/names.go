package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesData []byte

// names are the names of the platform's messages that the stand-ins use.
var names = readNames()

// wireNames are header fields, topics, the path of the readiness check and what precedes a key.
type wireNames struct {
	Attempt   string `json:"attempt"`
	Deadline  string `json:"deadline"`
	Seal      string `json:"seal"`
	Tenant    string `json:"tenant"`
	Expected  string `json:"expected"`
	Load      string `json:"load"`
	Operator  string `json:"operator"`
	Servers   string `json:"servers"`
	Readiness string `json:"readiness"`
	Bearer    string `json:"bearer"`
}

func readNames() (n wireNames) {
	if err := json.Unmarshal(namesData, &n); err != nil {
		panic(err)
	}
	return n
}
