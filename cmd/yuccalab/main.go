// Command yuccalab is described in the README.
package main

func main() {}
