// Package spec decodes and checks the sections of the document.
package spec
