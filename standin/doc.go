// Package standin simulates, for tests, measurements and development, systems that
// dotterelhead depends on: the platform that package infrastructure describes, and a
// backend server. Both stand-ins serve HTTP, can be embedded in a Go program, and inject
// faults that can be changed at run time. Package jobplatform simulates the platform
// that runs the users' jobs.
package standin
