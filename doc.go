// Package yuccahaven is the client library of yuccahaven, a fleet capacity and maintenance manager. A Client submits
// jobs, polls and cancels tasks; its errors say why a request was refused and what is known of its work.
package yuccahaven
