// Package yuccahaven is the client library of yuccahaven, a fleet capacity and maintenance manager.
package yuccahaven
