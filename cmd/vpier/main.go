// Command vpier is the operators' command line of vanillapier.
package main

func main() {}
