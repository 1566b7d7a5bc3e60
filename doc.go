// Package yuccahaven is the client library of yuccahaven, a fleet capacity and maintenance manager. A Client submits
// jobs and polls and cancels tasks; its errors tell why a request was rejected and whether its work was run.
package yuccahaven
