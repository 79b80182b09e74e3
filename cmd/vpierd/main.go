// Command vpierd runs one entry host of vanillapier.
package main

func main() {}
