// Command stand plays small deployments for the cases of the review: stand-ins of the platform's store, machine service and
// advice service, of workers and of consumers, around real entry instances on loopback addresses.
//
// A stand-in does what the users' pages say; where these are silent it behaves like a sound service.
package main
