// Package standin simulates the systems that dotterelhead depends on: the platform
// and a backend server. Both stand-ins serve HTTP, can run in one process, and
// inject faults that can be changed at run time.
package standin
