// Command fulmarspindle runs a router and gives operators their commands.
package main

func main() {}
