package httpclient

import "dotterelhead.example/dotterelhead/infrastructure"

// The types in this file are the JSON bodies of the platform's HTTP API. Values
// are base64 strings, which is how encoding/json encodes []byte.

// PutRequest is the body of PUT /v1/kv/{key}.
type PutRequest struct {
	Value []byte `json:"value"`
}

// PutResponse is the response body of PUT /v1/kv/{key}.
type PutResponse struct {
	Version int64 `json:"version"`
}

// ListResponse is the response body of GET /v1/kv.
type ListResponse struct {
	Items []infrastructure.KeyValue `json:"items"`
}

// LeaseRequest is the body of POST /v1/leases.
type LeaseRequest struct {
	TTLSeconds float64 `json:"ttl_seconds"`
}

// LeaseResponse is the response body of POST /v1/leases.
type LeaseResponse struct {
	Lease string `json:"lease"`
}

// VMsResponse is the response body of GET /v1/vms.
type VMsResponse struct {
	VMs []infrastructure.VM `json:"vms"`
}

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Error string `json:"error"`
}
