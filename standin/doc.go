// Package standin holds stand-ins of the systems around dotterelhead: the
// platform and a backend server. Both listen on HTTP, can be embedded in one
// process, and inject the faults that the tests need at run time.
package standin
