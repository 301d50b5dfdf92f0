package main

// #include <stdlib.h>
import "C"
