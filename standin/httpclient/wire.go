package httpclient

import "dotterelhead.example/dotterelhead/infrastructure"

// The types in this file are the JSON bodies of the platform's HTTP API. Values
// are base64 strings, which is how encoding/json encodes []byte.

// PutRequest is the body of PUT /v1/kv/{key}.
type PutRequest struct {
	Value []byte `json:"value"`
}

// PutAnswer is the response body of PUT /v1/kv/{key}.
type PutAnswer struct {
	Version int64 `json:"version"`
}

// ListAnswer is the response body of GET /v1/kv.
type ListAnswer struct {
	Items []infrastructure.KeyValue `json:"items"`
}

// LeaseRequest is the body of POST /v1/leases.
type LeaseRequest struct {
	TTLSeconds float64 `json:"ttl_seconds"`
}

// LeaseAnswer is the response body of POST /v1/leases.
type LeaseAnswer struct {
	Lease string `json:"lease"`
}

// VMsAnswer is the response body of GET /v1/vms.
type VMsAnswer struct {
	VMs []infrastructure.VM `json:"vms"`
}

// ErrorAnswer is the body of every error response.
type ErrorAnswer struct {
	Error string `json:"error"`
}
