package httpclient

import "dotterelhead.example/dotterelhead/infrastructure"

// The types of this file are the JSON bodies of the platform's HTTP API. Values
// are base64 strings, as encoding/json renders []byte.

// PutRequest is the body of PUT /v1/kv/{key}.
type PutRequest struct {
	Value []byte `json:"value"`
}

// PutAnswer is the answer of PUT /v1/kv/{key}.
type PutAnswer struct {
	Version int64 `json:"version"`
}

// ListAnswer is the answer of GET /v1/kv.
type ListAnswer struct {
	Items []infrastructure.KeyValue `json:"items"`
}

// LeaseRequest is the body of POST /v1/leases.
type LeaseRequest struct {
	TTLSeconds float64 `json:"ttl_seconds"`
}

// LeaseAnswer is the answer of POST /v1/leases.
type LeaseAnswer struct {
	Lease string `json:"lease"`
}

// VMsAnswer is the answer of GET /v1/vms.
type VMsAnswer struct {
	VMs []infrastructure.VM `json:"vms"`
}

// ErrorAnswer is the body of every answer that reports a failure.
type ErrorAnswer struct {
	Error string `json:"error"`
}
