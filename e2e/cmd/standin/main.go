// Command standin runs one stand-in for an outside system.
package main

func main() {}
